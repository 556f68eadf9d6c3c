//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line without its line end.
    pub start: String,
    /// Headers in their order; names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the path of a request, the status of an
    /// answer.
    pub fn second(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or(0)
    }
}

pub type Reader = BufReader<TcpStream>;

pub fn reader(stream: &TcpStream) -> io::Result<Reader> {
    Ok(BufReader::new(stream.try_clone()?))
}

fn read_line(reader: &mut Reader) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads a head; `None` if the connection ends before one.
pub fn read_head(reader: &mut Reader) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        let pair = (name.trim().to_lowercase(), value.trim().to_owned());
        message.headers.push(pair);
    }
}

/// Reads the body that belongs to the head. `until_end` states whether a body
/// without a length ends with the connection, as in an answer.
pub fn read_body(reader: &mut Reader, message: &mut Message, until_end: bool) {
    message.whole = match read_body_parts(reader, message, until_end) {
        Ok(()) => true,
        Err(_) => false,
    };
}

fn read_body_parts(reader: &mut Reader, message: &mut Message, until_end: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut left = size;
            while left > 0 {
                let mut part = vec![0; left.min(16_384)];
                let read = reader.read(&mut part)?;
                if read == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                message.body.extend_from_slice(&part[..read]);
                left -= read;
            }
            read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        let mut left = length;
        while left > 0 {
            let mut part = vec![0; left.min(16_384)];
            let read = reader.read(&mut part)?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            message.body.extend_from_slice(&part[..read]);
            left -= read;
        }
        return Ok(());
    }
    if until_end {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Opens a connection to a host.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads one answer; `None` if the connection ends or fails before its head is
/// complete.
pub fn read_answer(reader: &mut Reader) -> Option<Message> {
    let mut answer = read_head(reader).ok()??;
    let bodyless = matches!(answer.status(), 204 | 304);
    if !bodyless {
        read_body(reader, &mut answer, true);
    } else {
        answer.whole = true;
    }
    Some(answer)
}

/// Sends `bytes` over a new connection and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], patience: Duration) -> Option<Message> {
    let mut stream = connect(address).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(bytes).ok()?;
    let mut reader = reader(&stream).ok()?;
    read_answer(&mut reader)
}
