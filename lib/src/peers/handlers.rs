//! Registry of the handlers that answer peers' calls, by name of the call.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;

use crate::collections::HashMap;
use crate::ids::HostId;
use crate::peers::message::EncodedCall;
use crate::peers::message::EncodedReply;
use crate::peers::message::PeerMessage;
use crate::peers::message::decode;
use crate::peers::message::encode;

type Handler = Arc<dyn Fn(HostId, &[u8]) -> BoxFuture<'static, EncodedReply> + Send + Sync>;

/// Handlers for calls of peers, at most one per name of a call.
#[derive(Clone, Default)]
pub struct PeerHandlers {
    handlers: HashMap<&'static str, Handler>,
}

impl PeerHandlers {
    /// Returns an empty registry; a peer's calls then get no reply.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers `handle` for calls of type `M`; it gets the name of the calling host. Calls whose
    /// fields can't be decoded as `M` are answered as if there were no handler.
    pub fn with<M, H, F>(mut self, handle: H) -> Self
    where
        M: PeerMessage,
        H: Fn(HostId, M) -> F + Send + Sync + 'static,
        F: Future<Output = M::Reply> + Send + 'static,
    {
        let handler = move |from, fields: &[u8]| match decode::<M>(fields) {
            Some(message) => {
                let reply = handle(from, message);
                async move { Some(Bytes::from(encode(&reply.await))) }.boxed()
            }
            None => std::future::ready(None).boxed(),
        };
        self.handlers.insert(M::NAME, Arc::new(handler));
        self
    }

    /// Runs the handler for `call` from the host `from`; `None` if there is no handler for it.
    pub(crate) async fn answer(&self, from: HostId, call: EncodedCall) -> EncodedReply {
        let handler = self.handlers.get(call.name.as_str())?;
        handler(from, &call.fields).await
    }
}
