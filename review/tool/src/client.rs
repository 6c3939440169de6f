//! A client that sends one request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(6);

/// Answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends `request`, which asks to close the connection, and reads up to the connection's end.
pub async fn send(to: SocketAddr, request: &[u8]) -> Result<Answer, String> {
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(request).await?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await?;
        std::io::Result::Ok(bytes)
    };
    let bytes = tokio::time::timeout(TIMEOUT, exchange).await;
    let bytes = bytes.map_err(|_| "no answer in time".to_owned())?;
    let bytes = bytes.map_err(|err| err.to_string())?;
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    let end = end.ok_or("the connection was closed without an answer")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    let body = match is_chunked {
        true => join_chunks(&bytes[end + 4..]).ok_or("the answer broke off")?,
        false => bytes[end + 4..].to_vec(),
    };
    Ok(Answer {
        status: status.ok_or("the answer is malformed")?,
        body,
    })
}

/// The body that was sent in chunks; `None` if the last chunk is missing.
fn join_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|two| two == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[..end]).ok()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(end + 2..end + 2 + size)?);
        bytes = bytes.get(end + 2 + size + 2..)?;
    }
}

/// A request as text, to be sent by [`send`].
pub fn request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}
