//! MessagePack values and a small HTTP/1.1 server and client. Standard library only.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    U(u64),
    F(f64),
    S(String),
    L(Vec<V>),
    M(Vec<(String, V)>),
}

pub fn s(text: &str) -> V {
    V::S(text.to_owned())
}

pub fn map<const N: usize>(fields: [(&str, V); N]) -> V {
    V::M(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

impl V {
    pub fn get(&self, name: &str) -> &V {
        match self {
            V::M(m) => m
                .iter()
                .find(|(k, _)| k == name)
                .map_or(&V::Nil, |(_, v)| v),
            _ => &V::Nil,
        }
    }
    pub fn set(&mut self, name: &str, value: V) {
        if let V::M(m) = self {
            m.retain(|(k, _)| k != name);
            m.push((name.to_owned(), value));
        }
    }
    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            V::S(t) => t.clone(),
            _ => String::new(),
        }
    }
    pub fn int(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            V::U(n) => Some(*n),
            V::F(f) => Some(*f as u64),
            _ => None,
        }
    }
    pub fn num(&self, name: &str) -> f64 {
        match self.get(name) {
            V::U(n) => *n as f64,
            V::F(f) => *f,
            _ => 0.0,
        }
    }
    pub fn flag(&self, name: &str) -> bool {
        self.get(name) == &V::Bool(true)
    }
    pub fn list(&self, name: &str) -> &[V] {
        match self.get(name) {
            V::L(l) => l,
            _ => &[],
        }
    }

    /// The size in the text form (JSON), in which the protocol measures its limits.
    pub fn json_bytes(&self) -> usize {
        fn text(t: &str) -> usize {
            2 + t
                .chars()
                .map(|c| match c {
                    '"' | '\\' => 2,
                    c if (c as u32) < 32 => 6,
                    c => c.len_utf8(),
                })
                .sum::<usize>()
        }
        match self {
            V::Nil => 4,
            V::Bool(b) => 5 - usize::from(*b),
            V::U(n) => n.to_string().len(),
            V::F(f) => format!("{f:?}").len(),
            V::S(t) => text(t),
            V::L(l) => 1 + l.iter().map(|v| 1 + v.json_bytes()).sum::<usize>().max(1),
            V::M(m) => {
                let fields = m.iter().map(|(k, v)| text(k) + 2 + v.json_bytes());
                1 + fields.sum::<usize>().max(1)
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, o: &mut Vec<u8>) {
        fn text(t: &str, o: &mut Vec<u8>) {
            match t.len() {
                n if n < 32 => o.push(0xa0 | n as u8),
                n if n < 256 => o.extend([0xd9, n as u8]),
                n => {
                    o.push(0xda);
                    o.extend((n as u16).to_be_bytes());
                }
            }
            o.extend(t.as_bytes());
        }
        fn head(n: usize, short: u8, long: u8, o: &mut Vec<u8>) {
            match n {
                n if n < 16 => o.push(short | n as u8),
                n if n < 65536 => {
                    o.push(long);
                    o.extend((n as u16).to_be_bytes());
                }
                n => {
                    o.push(long + 1);
                    o.extend((n as u32).to_be_bytes());
                }
            }
        }
        match self {
            V::Nil => o.push(0xc0),
            V::Bool(b) => o.push(if *b { 0xc3 } else { 0xc2 }),
            V::U(n) if *n < 128 => o.push(*n as u8),
            V::U(n) if *n < 256 => o.extend([0xcc, *n as u8]),
            V::U(n) if *n < 65536 => {
                o.push(0xcd);
                o.extend((*n as u16).to_be_bytes());
            }
            V::U(n) if *n < 1 << 32 => {
                o.push(0xce);
                o.extend((*n as u32).to_be_bytes());
            }
            V::U(n) => {
                o.push(0xcf);
                o.extend(n.to_be_bytes());
            }
            V::F(f) => {
                o.push(0xcb);
                o.extend(f.to_be_bytes());
            }
            V::S(t) => text(t, o),
            V::L(l) => {
                head(l.len(), 0x90, 0xdc, o);
                l.iter().for_each(|v| v.write(o));
            }
            V::M(m) => {
                head(m.len(), 0x80, 0xde, o);
                for (k, v) in m {
                    text(k, o);
                    v.write(o);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        read_value(bytes, &mut at, 0)
    }
}

fn take<'a>(b: &'a [u8], at: &mut usize, n: usize) -> Option<&'a [u8]> {
    let part = b.get(*at..*at + n)?;
    *at += n;
    Some(part)
}

fn uint(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    Some(
        take(b, at, n)?
            .iter()
            .fold(0, |sum, x| sum << 8 | u64::from(*x)),
    )
}

fn read_value(b: &[u8], at: &mut usize, depth: usize) -> Option<V> {
    if depth > 64 {
        return None;
    }
    let tag = take(b, at, 1)?[0];
    let text = |at: &mut usize, n: usize| {
        let bytes = take(b, at, n)?;
        Some(V::S(String::from_utf8_lossy(bytes).into_owned()))
    };
    let list = |at: &mut usize, n: usize| {
        let mut l = Vec::new();
        for _ in 0..n {
            l.push(read_value(b, at, depth + 1)?);
        }
        Some(V::L(l))
    };
    let fields = |at: &mut usize, n: usize| {
        let mut m = Vec::new();
        for _ in 0..n {
            let V::S(k) = read_value(b, at, depth + 1)? else {
                return None;
            };
            m.push((k, read_value(b, at, depth + 1)?));
        }
        Some(V::M(m))
    };
    match tag {
        0..=0x7f => Some(V::U(tag.into())),
        0x80..=0x8f => fields(at, (tag & 15).into()),
        0x90..=0x9f => list(at, (tag & 15).into()),
        0xa0..=0xbf => text(at, (tag & 31).into()),
        0xc0 => Some(V::Nil),
        0xc2 => Some(V::Bool(false)),
        0xc3 => Some(V::Bool(true)),
        0xca => Some(V::F(f32::from_bits(uint(b, at, 4)? as u32).into())),
        0xcb => Some(V::F(f64::from_bits(uint(b, at, 8)?))),
        0xcc => Some(V::U(uint(b, at, 1)?)),
        0xcd => Some(V::U(uint(b, at, 2)?)),
        0xce => Some(V::U(uint(b, at, 4)?)),
        0xcf | 0xd3 => Some(V::U(uint(b, at, 8)?)),
        0xd0 => Some(V::U(uint(b, at, 1)?)),
        0xd1 => Some(V::U(uint(b, at, 2)?)),
        0xd2 => Some(V::U(uint(b, at, 4)?)),
        0xd9 => {
            let n = uint(b, at, 1)? as usize;
            text(at, n)
        }
        0xda => {
            let n = uint(b, at, 2)? as usize;
            text(at, n)
        }
        0xdb => {
            let n = uint(b, at, 4)? as usize;
            text(at, n)
        }
        0xdc => {
            let n = uint(b, at, 2)? as usize;
            list(at, n)
        }
        0xdd => {
            let n = uint(b, at, 4)? as usize;
            list(at, n)
        }
        0xde => {
            let n = uint(b, at, 2)? as usize;
            fields(at, n)
        }
        0xdf => {
            let n = uint(b, at, 4)? as usize;
            fields(at, n)
        }
        _ => None,
    }
}

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: V,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query
            .iter()
            .find(|(k, _)| k == name)
            .map(|(_, v)| v.as_str())
    }
}

/// Status and body, or nothing: the connection is closed without an answer.
pub type Answer = Option<(u16, V)>;

/// Serves on a free port of 127.0.0.1, one thread for each connection.
pub fn serve(handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    loop {
        let Some((head, body)) = read_message(&mut stream, &mut input) else {
            return;
        };
        let mut first = head.lines().next().unwrap_or("").split(' ');
        let method = first.next().unwrap_or("").to_owned();
        let target = first.next().unwrap_or("").to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
            body: V::decode(&body).unwrap_or(V::Nil),
        };
        let Some((status, answer)) = handle(&request) else {
            return;
        };
        let bytes = answer.encode();
        let mut out = format!(
            "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
            bytes.len()
        )
        .into_bytes();
        out.extend(bytes);
        let last = head.to_ascii_lowercase().contains("connection: close");
        if stream.write_all(&out).is_err() || last {
            return;
        }
    }
}

/// Reads one message with a Content-Length. Returns its head and its body.
fn read_message(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let mut buffer = [0; 16384];
    loop {
        if let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let length = head.lines().find_map(|l| {
                let (name, value) = l.split_once(':')?;
                let found = name.eq_ignore_ascii_case("content-length");
                found.then(|| value.trim().parse().ok()).flatten()
            });
            let total = end + 4 + length.unwrap_or(0usize);
            if input.len() >= total {
                let body = input[end + 4..total].to_vec();
                input.drain(..total);
                return Some((head, body));
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => input.extend_from_slice(&buffer[..n]),
        }
    }
}

/// Sends one request on a new connection. Status 0: no complete answer within `limit`.
pub fn call(
    method: &str,
    to: SocketAddr,
    path: &str,
    body: Option<&V>,
    limit: Duration,
) -> (u16, V) {
    let body = body.map(V::encode).unwrap_or_default();
    let end = Instant::now() + limit;
    let answer = (|| {
        let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
        let _ = stream.set_nodelay(true);
        let left = end
            .saturating_duration_since(Instant::now())
            .max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).ok()?;
        stream.set_write_timeout(Some(left)).ok()?;
        let mut out = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend(&body);
        stream.write_all(&out).ok()?;
        let (head, body) = read_message(&mut stream, &mut Vec::new())?;
        if Instant::now() > end {
            return None;
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, V::decode(&body).unwrap_or(V::Nil)))
    })();
    answer.unwrap_or((0, V::Nil))
}
