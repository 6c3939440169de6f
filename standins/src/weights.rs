//! Stand-in of the weight store.

use std::sync::Arc;

use http::StatusCode;
use parsleywall::edges::weights::WeightCatalogue;

use crate::server::StandinServer;
use crate::server::json_reply;

/// Serves `catalogue` over HTTP.
pub async fn serve_weights(catalogue: Arc<WeightCatalogue>) -> std::io::Result<StandinServer> {
    StandinServer::start(move |_| {
        let reply = json_reply(StatusCode::OK, &*catalogue);
        async move { Some(reply) }
    })
    .await
}
