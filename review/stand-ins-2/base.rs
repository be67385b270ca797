//! Parts that all cases share: JSON, HTTP/1.1, the platform's store and the gateways as processes.
//! Only the standard library is used.

use std::collections::BTreeMap;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(pairs) => pairs.iter().find(|p| p.0 == name).map_or(&Json::Null, |p| &p.1),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }
    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { 0.0 }
    }
    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
    pub fn parse(text: &str) -> Json {
        let mut at = 0;
        parse_value(text.as_bytes(), &mut at)
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Json {
    skip(b, at);
    match b.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut pairs = Vec::new();
            loop {
                skip(b, at);
                match b.get(*at) {
                    Some(b'}') | None => {
                        *at += 1;
                        return Json::Map(pairs);
                    }
                    Some(b',') => *at += 1,
                    _ => {
                        let name = parse_text(b, at);
                        skip(b, at);
                        *at += 1;
                        pairs.push((name, parse_value(b, at)));
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(b, at);
                match b.get(*at) {
                    Some(b']') | None => {
                        *at += 1;
                        return Json::List(list);
                    }
                    Some(b',') => *at += 1,
                    _ => list.push(parse_value(b, at)),
                }
            }
        }
        Some(b'"') => Json::Text(parse_text(b, at)),
        Some(b't') => {
            *at += 4;
            Json::Bool
        }
        Some(b'f') => {
            *at += 5;
            Json::Bool
        }
        Some(c) if *c == b'-' || c.is_ascii_digit() => {
            let from = *at;
            while *at < b.len() && matches!(b[*at], b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9') {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[from..*at]).unwrap_or("0");
            Json::Number(text.parse().unwrap_or(0.0))
        }
        _ => {
            *at += 4;
            Json::Null
        }
    }
}

fn parse_text(b: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut out = Vec::new();
    while *at < b.len() && b[*at] != b'"' {
        if b[*at] == b'\\' {
            *at += 1;
            match b.get(*at) {
                Some(b'n') => out.push(b'\n'),
                Some(b't') => out.push(b'\t'),
                Some(b'u') => {
                    let hex = std::str::from_utf8(&b[*at + 1..*at + 5]).unwrap_or("003f");
                    let code = u32::from_str_radix(hex, 16).unwrap_or(63);
                    let text = char::from_u32(code).unwrap_or('?').to_string();
                    out.extend_from_slice(text.as_bytes());
                    *at += 4;
                }
                Some(c) => out.push(*c),
                None => {}
            }
        } else {
            out.push(b[*at]);
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8_lossy(&out).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= part.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = DIGITS.iter().position(|d| *d == byte) else { continue };
        word = (word << 6) | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

/// A request, or the head of an answer: first line, headers in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|h| h.0 == name).map_or("", |h| &h.1)
    }
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("/")
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the first line and the headers; none at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if message.line.is_empty() {
            if !line.is_empty() {
                message.line = line;
            }
        } else if line.is_empty() {
            return Some(message);
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; an empty one is the last.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes).ok()?;
    bytes.truncate(size);
    Some(bytes)
}

/// Reads a request with its body.
pub fn read_request<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(message);
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Serves connections of a listener, each in a thread of its own, until `is_over` says so.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(TcpStream) + Send + Sync + 'static,
    is_over: impl Fn() -> bool + Send + 'static,
) {
    listener.set_nonblocking(true).expect("nonblocking");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !is_over() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let handle = Arc::clone(&handle);
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    thread::spawn(move || handle(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<(String, String), (u64, Option<Vec<u8>>)>,
}

/// The store of the platform: tables `op`, `servers` and the system's own, part "" only.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub address: String,
    began: Instant,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let store = Store {
            rows: Arc::default(),
            address: listener.local_addr().expect("address").to_string(),
            began: Instant::now(),
        };
        let served = store.clone();
        serve(listener, move |stream| served.connection(stream), || false);
        store
    }

    /// Writes a row as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (lock, changed) = &*self.rows;
        let mut rows = lock.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let value = Some(value.as_bytes().to_vec());
        rows.rows.insert((table.into(), key.into()), (version, value));
        changed.notify_all();
    }

    fn connection(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("clone");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let path = request.path().to_owned();
            let (name, query) = path.split_once('?').unwrap_or((&path, ""));
            let value = |wanted: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|p| p.0 == wanted).map_or(String::new(), |p| p.1.to_owned())
            };
            thread::sleep(Duration::from_millis(4));
            let (status, body) = match name {
                "/api/rows-get" => (200, self.list(&value("table"), &decode(&value("from")))),
                "/api/rows-feed" => {
                    let after = value("after").parse().unwrap_or(0);
                    let wait_ms = value("waitMs").parse().unwrap_or(0);
                    (200, self.feed(&value("table"), after, wait_ms))
                }
                "/api/rows-tx" => self.change(&Json::parse(&String::from_utf8_lossy(&request.body))),
                _ => (404, "{}".to_owned()),
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn render(table: &str, key: &str, content: &(u64, Option<Vec<u8>>)) -> String {
        let rest = match &content.1 {
            Some(value) => format!("\"value\":\"{}\"", base64(value)),
            None => "\"gone\":true".to_owned(),
        };
        format!("{{\"table\":\"{table}\",\"part\":\"\",\"privateKey\":\"{key}\",\"ver\":{},{rest}}}", content.0)
    }

    fn list(&self, table: &str, from: &str) -> String {
        let rows = self.rows.0.lock().unwrap();
        let found = rows.rows.iter().filter(|((t, k), (_, v))| t == table && k.as_str() >= from && v.is_some());
        let found: Vec<String> = found.map(|((t, k), c)| Self::render(t, k, c)).collect();
        format!("{{\"rows\":[{}],\"more\":false,\"ver\":{},\"now_ms\":{}}}", found.join(","), rows.version, self.now_ms())
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (lock, changed) = &*self.rows;
        let mut rows = lock.lock().unwrap();
        loop {
            let has_news = rows.rows.iter().any(|((t, _), (v, _))| t == table && *v > after);
            let now = Instant::now();
            if has_news || now >= until {
                break;
            }
            rows = changed.wait_timeout(rows, until - now).unwrap().0;
        }
        let mut found: Vec<_> = rows.rows.iter().filter(|((t, _), (v, _))| t == table && *v > after).collect();
        found.sort_by_key(|(_, (version, _))| *version);
        let found: Vec<String> = found.iter().map(|((t, k), c)| Self::render(t, k, c)).collect();
        format!("{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}", found.join(","), rows.version, self.now_ms())
    }

    fn change(&self, change: &Json) -> (u16, String) {
        let name = |row: &Json| (row.get("table").text().to_owned(), row.get("privateKey").text().to_owned());
        let (lock, changed) = &*self.rows;
        let mut rows = lock.lock().unwrap();
        let fits = change.get("expectedCount").list().iter().all(|row| {
            let found = rows.rows.get(&name(row)).filter(|(_, value)| value.is_some());
            found.map_or(0, |(version, _)| *version) == row.get("ver").number() as u64
        });
        if !fits {
            return (412, format!("{{\"rows\":[],\"ver\":{},\"now_ms\":{}}}", rows.version, self.now_ms()));
        }
        rows.version += 1;
        let version = rows.version;
        for row in change.get("put").list() {
            let value = unbase64(row.get("value").text());
            rows.rows.insert(name(row), (version, Some(value)));
        }
        for row in change.get("remove").list() {
            rows.rows.insert(name(row), (version, None));
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()))
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- gateways

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, b: u64, c: u64, d: u64) -> i32;
}

pub const SIGKILL: i32 = 9;

/// A machine of class `edge` with the role of the deploy file.
pub struct Machine {
    pub name: String,
    pub callers: String,
    pub ready: String,
    settings: PathBuf,
    log: PathBuf,
    process: Mutex<Option<Child>>,
}

/// Starts machines `edge-ZONE-1` at 127.0.0.11 and on, with ports that are alike on all.
pub fn machines(folder: &Path, store: &Store, zones: &[&str], memory_mb: u64) -> Vec<Arc<Machine>> {
    let ips: Vec<String> = (0..zones.len()).map(|i| format!("127.0.0.{}", 11 + i)).collect();
    let ports = free_ports(&ips, 4);
    let zone_map: Vec<String> = zones.iter().map(|z| format!("\"{z}\":\"region\"")).collect();
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports[2])).collect();
    zones
        .iter()
        .zip(&ips)
        .map(|(zone, ip)| {
            let name = format!("edge-{zone}-1");
            // As the deployment's settings template fills it in for `plvault-hub`.
            let text = format!(
                "{{\"instance\":{{\"id\":\"{name}\",\"failure_domain\":\"{zone}\",\"region\":\"region\",\
                 \"failure_domains\":{{{}}}}},\
                 \"listen\":{{\"callers\":\"{ip}:{}\",\"ready\":\"{ip}:{}\",\"peers\":\"{ip}:{}\",\"metrics\":\"{ip}:{}\"}},\
                 \"platform\":{{\"adapter\":\"users\",\"store\":\"{}\"}},\
                 \"bounds\":{{\"grace_s\":8,\"drain_ms\":2000,\"configuration_ms\":2000,\"lease_ms\":3000,\
                 \"retry_ratio\":0.2,\"retry_allowance_count\":52,\"retry_window_s\":10}},\
                 \"resources\":{{\"memory_mb\":{memory_mb},\"descriptor_count\":4100,\"link_mbps\":1000.0}},\
                 \"peers\":{{\"seeds\":[{}]}}}}",
                zone_map.join(","), ports[0], ports[1], ports[2], ports[3], store.address, seeds.join(",")
            );
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text).expect("settings");
            Arc::new(Machine {
                callers: format!("{ip}:{}", ports[0]),
                ready: format!("{ip}:{}", ports[1]),
                log: folder.join(format!("{name}.log")),
                name,
                settings,
                process: Mutex::new(None),
            })
        })
        .collect()
}

/// Finds ports that are free on all addresses, for TCP and UDP.
fn free_ports(ips: &[String], count: usize) -> Vec<u16> {
    let mut found = Vec::new();
    while found.len() < count {
        let probe = TcpListener::bind(format!("{}:0", ips[0])).expect("port");
        let port = probe.local_addr().expect("address").port();
        drop(probe);
        let is_free = |ip: &String| {
            TcpListener::bind(format!("{ip}:{port}")).is_ok() && UdpSocket::bind(format!("{ip}:{port}")).is_ok()
        };
        if !found.contains(&port) && ips.iter().all(is_free) {
            found.push(port);
        }
    }
    found
}

impl Machine {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        use std::os::unix::process::CommandExt;
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        let mut command = Command::new("target/release/cranereach");
        command.arg("gateway").env("CRANEREACH_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // The process ends with this program, whatever ends that.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => *self.process.lock().unwrap() = Some(child),
            Err(error) => {
                eprintln!("cannot start target/release/cranereach: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.process.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal to the process; after SIGKILL it is gone on return.
    pub fn signal(&self, signal: i32) {
        let mut process = self.process.lock().unwrap();
        if let Some(child) = process.as_mut() {
            unsafe { kill(child.id() as i32, signal) };
            if signal == SIGKILL {
                let _ = child.wait();
                *process = None;
            }
        }
    }

    /// Returns the memory that the process holds, in bytes; none if it isn't there.
    pub fn resident_bytes(&self) -> Option<u64> {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.pid()?)).ok()?;
        statm.split(' ').nth(1)?.parse::<u64>().ok().map(|pages| pages * 4096)
    }

    /// Whether the machine says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(&self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(800)));
        let request = format!("GET /api/readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let mut text = [0; 16];
        matches!(stream.read(&mut text), Ok(n) if n >= 12) && &text[9..12] == b"200"
    }
}

/// Waits until all machines are ready; ends the program with 2 if they don't become so.
pub fn wait_until_ready(machines: &[Arc<Machine>]) {
    let until = Instant::now() + Duration::from_secs(20);
    while !machines.iter().all(|machine| machine.is_ready()) {
        if Instant::now() > until {
            eprintln!("the machines do not become ready");
            stop(machines);
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// Ends all processes.
pub fn stop(machines: &[Arc<Machine>]) {
    for machine in machines {
        machine.signal(SIGKILL);
    }
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run, written to `record.txt`.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { began: Instant::now(), lines: Mutex::default() })
    }
    pub fn now_s(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn note(&self, text: impl Into<String>) {
        let at = self.now_s();
        self.lines.lock().unwrap().push((at, text.into()));
    }
    pub fn write(&self, path: &Path, verdict: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut out = format!("{verdict}\n\n");
        for (at, text) in lines {
            out.push_str(&format!("{at:9.3} s  {text}\n"));
        }
        let _ = fs::write(path, out);
        println!("{verdict}");
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Makes a temporary folder of this run.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("temporary folder");
    folder
}

/// Returns an identity that no other request has.
pub fn identity(prefix: &str, number: usize) -> String {
    format!("{prefix}{:04x}{number:08x}", std::process::id() & 0xffff)
}
