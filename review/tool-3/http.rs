//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and calls on new connections.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    /// Status of an answer; 0 without one.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Decoded value of a query parameter; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |parts| parts.1);
        for pair in query.split('&') {
            if let Some((key, value)) = pair.split_once('=') {
                if key == name {
                    return decode(value);
                }
            }
        }
        String::new()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3);
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads one message; `None` if the connection ends before its head is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_answer: bool) -> Option<Message> {
    let mut message = Message {
        line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length");
    let length: Option<usize> = length.and_then(|length| length.parse().ok());
    message.is_whole = match (is_chunked, length) {
        (true, _) => read_chunks(reader, &mut message.body).is_some(),
        (false, Some(length)) => read_part(reader, length, &mut message.body).is_some(),
        (false, None) if is_answer => reader.read_to_end(&mut message.body).is_ok(),
        (false, None) => true,
    };
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).ok()
}

fn read_part(reader: &mut BufReader<TcpStream>, length: usize, body: &mut Vec<u8>) -> Option<()> {
    let mut part = vec![0; length];
    let mut read = 0;
    while read < length {
        match reader.read(&mut part[read..]) {
            Ok(0) | Err(_) => {
                body.extend(&part[..read]);
                return None;
            }
            Ok(count) => read += count,
        }
    }
    body.extend(part);
    Some(())
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = read_line(reader)?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).ok()?;
        if size == 0 {
            while !read_line(reader)?.is_empty() {}
            return Some(());
        }
        read_part(reader, size, body)?;
        read_line(reader)?;
    }
}

/// Serves requests on `listener`. `answer` writes the answer, and returns whether the connection goes on.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read_half) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(read_half);
                while let Some(request) = read_message(&mut reader, false) {
                    if !answer(&request, &mut stream) {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Writes a whole answer; returns whether that went well.
pub fn write_answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).is_ok()
}

/// Sends a request on a new connection, which is closed after the answer. `None` without the head of an
/// answer within `limit`, which bounds each wait for bytes.
pub fn call(
    to: SocketAddr,
    line: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{line} HTTP/1.1\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream), true)
}
