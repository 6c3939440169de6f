//! One HTTP connection that carries several requests in turn.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::client::ClientError;
use crate::http::client::MAX_HEAD_BYTES;
use crate::http::client::check_status;
use crate::http::client::error_chain;
use crate::http::client::watch_interim_answers;

/// A connection to a server, and so to one process. It closes once it is dropped and its last response
/// is read or dropped.
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Connects to `address` within the time `limit`.
    ///
    /// Errors: [`ClientError::NotSent`] if there is no connection.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, ClientError> {
        let connect = timeout(limit, TcpStream::connect(address));
        let stream = match connect.await {
            Ok(stream) => stream.map_err(|err| not_sent(&err))?,
            Err(err) => return Err(not_sent(&err)),
        };
        stream.set_nodelay(true).map_err(|err| not_sent(&err))?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|err| not_sent(&err))?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends `request`, which names a path and a `Host`, once the previous response is read, and returns
    /// the response's head with its streaming body, without a time-out.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ClientError> {
        let excess = watch_interim_answers(&mut request);
        self.sender.ready().await.map_err(|err| not_sent(&err))?;
        let answer = tokio::select! {
            answer = self.sender.send_request(request) => {
                answer.map_err(|err| ClientError::Broken(error_chain(&err)))?
            }
            () = excess.notified() => {
                return Err(ClientError::Broken("too many interim answers".to_owned()));
            }
        };
        check_status(answer.status())?;
        Ok(answer)
    }
}

fn not_sent(err: &dyn std::error::Error) -> ClientError {
    ClientError::NotSent(error_chain(err))
}
