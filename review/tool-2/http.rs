//! HTTP/1.1 over blocking sockets: what servers and clients of the stand-ins need.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line, without its line end.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
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

    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let values = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = values.filter(|(known, _)| *known == name);
        values
            .next()
            .map(|(_, value)| unescaped(value))
            .unwrap_or_default()
    }
}

fn unescaped(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head; `None` if the connection ended before it began.
pub fn read_head(reader: &mut impl BufRead) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match head.line.is_empty() {
                true => Ok(None),
                false => Err(ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if head.line.is_empty() => head.line = line.to_owned(),
            _ if line.is_empty() => return Ok(Some(head)),
            Some((name, value)) => {
                head.headers
                    .push((name.to_owned(), value.trim().to_owned()));
            }
            None => return Err(ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads the body of a request or of a whole answer.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = head.header("content-length") {
        body.resize(length.parse().map_err(|_| ErrorKind::InvalidData)?, 0);
        reader.read_exact(&mut body)?;
    } else if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if head.line.starts_with("HTTP/") {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads a chunk; `None` after the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Delay that the answer asks for.
    pub fn retry_after(&self) -> Duration {
        let seconds = self.head.header("retry-after");
        let seconds: f64 = seconds.and_then(|text| text.parse().ok()).unwrap_or(0.0);
        Duration::from_secs_f64(seconds.clamp(0.0, 10.0))
    }
}

/// Opens a connection and sends a request on it.
pub fn send(
    to: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&request_bytes(to, line, headers, body))?;
    Ok(BufReader::new(stream))
}

/// A request to `to`.
pub fn request_bytes(to: SocketAddr, line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    if !body.is_empty() || line.starts_with("POST") {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    bytes
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    to: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer> {
    let mut reader = send(to, line, headers, body, timeout)?;
    let head = read_head(&mut reader)?.ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
    let body = read_body(&mut reader, &head)?;
    Ok(Answer { head, body })
}

/// An answer of a server, with its head.
pub fn answer_bytes(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    bytes
}
