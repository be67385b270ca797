//! Case: a worker goes down and up by turns, and starts with another version of its software, under its
//! identity. Many callers come right after its start. Streams of which they have events of the new version
//! go on at workers of the old one.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::base::*;

const ZONES: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
const WORKERS: usize = 10;
const HOST: &str = "notes.example";
/// Streams that begin at once when many users come.
const BURST_COUNT: usize = 48;
const EVENT_COUNT: usize = 15;
const EVENT_PAUSE_MS: u64 = 100;
/// Workers that go down and up by turns, one after another: one of ten at a time, a share of 0.1.
const FLAPPING: usize = 3;
/// Time from a worker's start until many callers come.
const BURST_AFTER_MS: u64 = 100;
/// A worker is down and up for this long, twice.
const DOWN_MS: u64 = 300;
const UP_MS: u64 = 1_300;
const BETWEEN_MS: u64 = 6_000;
const MIXED_MOST: usize = 2;

struct State {
    version: &'static str,
    born: u64,
    open: Vec<TcpStream>,
}

struct Worker {
    id: String,
    address: String,
    zone: String,
    store: Store,
    is_up: AtomicBool,
    life: AtomicUsize,
    state: Mutex<State>,
}

impl Worker {
    fn start(store: &Store, number: usize) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("worker");
        let worker = Arc::new(Worker {
            id: format!("i-{number}"),
            address: listener.local_addr().expect("address").to_string(),
            zone: ZONES[number % ZONES.len()].to_owned(),
            store: store.clone(),
            is_up: AtomicBool::new(true),
            life: AtomicUsize::new(0),
            state: Mutex::new(State { version: "v1", born: unix_ms(), open: Vec::new() }),
        });
        worker.listen(listener);
        worker
    }

    /// Listens, and writes its row at once.
    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let life = self.life.load(Ordering::Acquire);
        let (served, watched) = (Arc::clone(self), Arc::clone(self));
        serve(listener, move |stream| served.connection(stream), move || {
            !watched.is_up.load(Ordering::Acquire) || watched.life.load(Ordering::Acquire) != life
        });
        let state = self.state.lock().unwrap();
        let row = format!(
            "{{\"service\":\"notes\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"born\":{},\"sequence\":0}}",
            self.address, self.zone, state.version, state.born
        );
        drop(state);
        self.store.put("servers", &self.id, &row);
    }

    fn down(&self) {
        self.is_up.store(false, Ordering::Release);
        for stream in self.state.lock().unwrap().open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn up(self: &Arc<Self>, version: &'static str) {
        *self.state.lock().unwrap() = State { version, born: unix_ms(), open: Vec::new() };
        self.life.fetch_add(1, Ordering::AcqRel);
        self.is_up.store(true, Ordering::Release);
        loop {
            if let Ok(listener) = TcpListener::bind(&self.address) {
                return self.listen(listener);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn connection(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("clone");
        let (version, born) = {
            let mut state = self.state.lock().unwrap();
            state.open.extend(stream.try_clone());
            (state.version, state.born)
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let attempt = request.header("x-attempt-id");
            let sent = match request.path() {
                "/api/report" => {
                    let body = format!("{{\"born\":{born},\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0}}");
                    let length = body.len();
                    writer.write_all(
                        format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes(),
                    )
                }
                _ if request.header("x-expected-instance") != self.id => writer.write_all(
                    format!("HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id).as_bytes(),
                ),
                _ => self.stream(&mut writer, attempt, request.header("last-event-id"), version),
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Writes the events after the last one that the caller has; each names the version that wrote it.
    fn stream(&self, writer: &mut TcpStream, attempt: &str, last: &str, version: &str) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in last.parse::<usize>().unwrap_or(0) + 1..=EVENT_COUNT {
            let event = format!("id: {number}\ndata: {version} {} {number}\n\n", self.id);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(EVENT_PAUSE_MS));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"notes\",\"host\":\"{HOST}\",\"pathPrefix\":\"/notes/\",\"routeKind\":\"streaming\",\
         \"timeoutMs\":8000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"notes\",\"attempts\":2,\"resumable\":true,\
         \"gapTargetMs\":400}}],\"services\":[{{\"name\":\"notes\",\"healthPath\":\"/health\",\"connectionLimit\":360}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Returns how the stream ended and who wrote its events.
fn client(machine: &Machine, attempt: &str) -> (String, Vec<String>) {
    let mut events = Vec::new();
    let Ok(mut stream) = TcpStream::connect(&machine.callers) else { return ("not connected".into(), events) };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
    let request = format!(
        "POST /notes/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nhi"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return ("closed".into(), events);
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else { return ("closed without an answer".into(), events) };
    if !head.header("transfer-encoding").contains("chunked") {
        return (head.status().to_string(), events);
    }
    let mut text = Vec::new();
    let end = loop {
        match read_chunk(&mut reader) {
            None => break "broken off".to_owned(),
            Some(chunk) if chunk.is_empty() => break head.status().to_string(),
            Some(chunk) => text.extend_from_slice(&chunk),
        }
    };
    for line in String::from_utf8_lossy(&text).lines() {
        if let Some(data) = line.strip_prefix("data: ") {
            events.push(data.to_owned());
        }
    }
    (end, events)
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", &configuration());
    let workers: Vec<Arc<Worker>> = (0..WORKERS).map(|number| Worker::start(&store, number)).collect();
    let temporary = temporary_folder();
    let machines = machines(&temporary, &store, &ZONES, 260);
    for machine in &machines {
        machine.start();
    }
    wait_until_ready(&machines);
    thread::sleep(Duration::from_secs(6));
    let is_over = Arc::new(AtomicBool::new(false));
    let mixed: Arc<Mutex<Vec<String>>> = Arc::default();
    let ends: Arc<Mutex<Vec<String>>> = Arc::default();
    let wanted = Arc::new(AtomicUsize::new(0));
    let source = {
        let wanted = Arc::clone(&wanted);
        let (machines, record, is_over) = (machines.clone(), Arc::clone(&record), Arc::clone(&is_over));
        let (mixed, ends) = (Arc::clone(&mixed), Arc::clone(&ends));
        thread::spawn(move || {
            let mut clients = Vec::new();
            let mut count = 0;
            while !is_over.load(Ordering::Acquire) {
                if wanted.load(Ordering::Acquire) == 0 {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                }
                wanted.fetch_sub(1, Ordering::AcqRel);
                let machine = Arc::clone(&machines[count % machines.len()]);
                let (record, mixed, ends) = (Arc::clone(&record), Arc::clone(&mixed), Arc::clone(&ends));
                let attempt = identity("e", count);
                clients.push(thread::spawn(move || {
                    let (end, events) = client(&machine, &attempt);
                    let mut writers: Vec<String> = Vec::new();
                    let mut versions: Vec<String> = Vec::new();
                    for event in &events {
                        let mut words = event.split(' ');
                        let version = words.next().unwrap_or("").to_owned();
                        let writer = format!("{version} at {}", words.next().unwrap_or(""));
                        if writers.last() != Some(&writer) {
                            writers.push(writer);
                        }
                        if !versions.contains(&version) {
                            versions.push(version);
                        }
                    }
                    record.note(format!("{attempt} at {}: {end}, {} events of {}", machine.name, events.len(), writers.join(", then ")));
                    if versions.len() > 1 {
                        mixed.lock().unwrap().push(attempt);
                    }
                    ends.lock().unwrap().push(end);
                }));
                count += 1;
                thread::sleep(Duration::from_millis(4));
            }
            for client in clients {
                let _ = client.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(3));
    for worker in &workers[..FLAPPING] {
        for turn in 0..2 {
            if has_trouble() {
                worker.down();
                record.note(format!("{} goes down", worker.id));
            }
            thread::sleep(Duration::from_millis(DOWN_MS));
            if has_trouble() {
                worker.up("v2");
                record.note(format!("{} is up with v2 and writes its row", worker.id));
            }
            thread::sleep(Duration::from_millis(BURST_AFTER_MS));
            if turn == 0 {
                record.note("many callers come");
                wanted.store(BURST_COUNT, Ordering::Release);
            }
            thread::sleep(Duration::from_millis(UP_MS - BURST_AFTER_MS));
        }
        thread::sleep(Duration::from_millis(BETWEEN_MS));
    }
    is_over.store(true, Ordering::Release);
    let _ = source.join();
    stop(&machines);
    let _ = std::fs::remove_dir_all(&temporary);
    let mixed = mixed.lock().unwrap();
    let ends = ends.lock().unwrap();
    let verdict = format!(
        "ORDER {}: {} streams hold events from workers of two software versions (more than {MIXED_MOST} break the rule); \
         {} streams, {} whole",
        if mixed.len() > MIXED_MOST { "broken" } else { "held" },
        mixed.len(),
        ends.len(),
        ends.iter().filter(|end| *end == "200").count()
    );
    record.write(&folder.join("record.txt"), &verdict);
    i32::from(mixed.len() > MIXED_MOST)
}
