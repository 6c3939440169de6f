//! Connections that carry detours, as the host that asks sees them.

use std::net::SocketAddr;

use async_trait::async_trait;
use futures_util::stream::BoxStream;

use crate::detour::message::DetourCall;
use crate::detour::message::DetourFrame;

/// Messages about one request, up to the last one. They end without it if the connection is lost.
/// Dropping them ends the work at the other host.
pub type DetourFrames = BoxStream<'static, DetourFrame>;

/// Opens connections to other hosts for detours.
#[async_trait]
pub trait DetourLink: Send + Sync + 'static {
    /// Opens a connection to the host at `address`, or takes one that is idle. The error is the cause why
    /// there is none; nothing was sent then.
    async fn open(&self, address: SocketAddr) -> Result<Box<dyn DetourConnection>, String>;
}

/// A connection on which no request is under way.
pub trait DetourConnection: Send {
    /// Sends `call` once the messages are polled, and returns those that come about it.
    fn start(self: Box<Self>, call: DetourCall) -> DetourFrames;
}
