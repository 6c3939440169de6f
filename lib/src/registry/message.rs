//! Messages that processes of one host's name exchange.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use crate::peers::PeerMessage;

/// A call to an earlier process of the caller's name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NameCall {
    /// The caller's entry has replaced that of the called process, as the key-value service has
    /// acknowledged.
    Displaced {
        /// Name of the host.
        host: String,
        /// Incarnation of the caller.
        incarnation: u64,
        /// Random number of the caller.
        process: u64,
        /// Address of the caller for other hosts.
        peers: SocketAddr,
        /// Incarnation of the process whose entry was replaced.
        earlier_incarnation: u64,
        /// Random number of that process; 0 if its entry had none.
        earlier_process: u64,
    },
}

/// Reply to a [`NameCall`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NameReply {
    /// The called process is displaced and has stopped acting for the name.
    Displaced,
    /// The called process holds the name: the key-value service doesn't show another one.
    Holds,
    /// The called process is not the one that was replaced, which has ended: it had this address.
    OtherProcess,
}

impl PeerMessage for NameCall {
    const NAME: &'static str = "name";

    type Reply = NameReply;
}

/// Why a call to an earlier process has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameCallError {
    /// The address refuses connections, so that no process listens there.
    Refused,
    /// The call may have been received or not. Holds the cause.
    NoReply(String),
}

/// Calls processes of this host's name.
#[async_trait]
pub trait NamePeerClient: Send + Sync + 'static {
    /// Calls the process at `address` and waits up to `timeout` for its reply.
    async fn call(
        &self,
        address: SocketAddr,
        call: NameCall,
        timeout: Duration,
    ) -> Result<NameReply, NameCallError>;
}

/// Client of a registry that was given none.
pub(crate) struct NoPeerClient;

#[async_trait]
impl NamePeerClient for NoPeerClient {
    async fn call(
        &self,
        _address: SocketAddr,
        _call: NameCall,
        _timeout: Duration,
    ) -> Result<NameReply, NameCallError> {
        Err(NameCallError::NoReply("no client".to_owned()))
    }
}
