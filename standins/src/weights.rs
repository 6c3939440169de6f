//! Stand-in of the store of model weights; it serves the catalogue only.

use std::sync::Arc;

use http::StatusCode;
use parsleywall::edges::weights::WeightCatalogue;

use crate::server::StandinServer;
use crate::server::json_reply;

/// Serves `catalogue` over HTTP on a free loopback port, at every path.
pub async fn serve_weights(catalogue: Arc<WeightCatalogue>) -> std::io::Result<StandinServer> {
    StandinServer::start(move |_| {
        let reply = json_reply(StatusCode::OK, &*catalogue);
        async move { Some(reply) }
    })
    .await
}
