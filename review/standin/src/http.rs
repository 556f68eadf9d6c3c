//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum size of the head of a message in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of the header `name`, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name)?;
        Some(&found.1)
    }

    /// Returns word `index` of the request line or status line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> Option<u16> {
        self.word(1).parse().ok()
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads some bytes, until `deadline` at the latest. Returns the number of
    /// bytes; 0 at the end of the stream.
    fn fill(&mut self, deadline: Instant) -> io::Result<usize> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 16 << 10];
        let count = match self.stream.read(&mut chunk) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::ErrorKind::TimedOut.into());
            }
            read => read?,
        };
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads one message. Returns `None` if the stream ends before its first
    /// byte.
    pub fn read(&mut self, deadline: Instant) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill(deadline)? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
        message.body = self.read_body(&message, deadline)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, message: &Message, deadline: Instant) -> io::Result<Vec<u8>> {
        if message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
        {
            let mut body = Vec::new();
            loop {
                let line = self.read_line(deadline)?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.read_exactly(size + 2, deadline)?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        let length = message
            .header("content-length")
            .and_then(|value| value.parse().ok());
        match length {
            Some(length) => self.read_exactly(length, deadline),
            None if message.start.starts_with("HTTP/") => {
                while self.fill(deadline)? > 0 {}
                Ok(std::mem::take(&mut self.buffer))
            }
            None => Ok(Vec::new()),
        }
    }

    fn read_line(&mut self, deadline: Instant) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            if self.fill(deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, length: usize, deadline: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill(deadline)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Writes a message with a `content-length` if it has a body.
    pub fn write(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start}\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || start.starts_with("HTTP/") || start.starts_with("POST") {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Returns whether the peer closed the connection or sent something, which
    /// it does not while it waits for an answer.
    pub fn is_abandoned(&mut self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
