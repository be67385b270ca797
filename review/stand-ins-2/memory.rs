//! Case: the platform hands most new connections to one machine while clients send long bodies.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base::*;

const ZONES: [&str; 3] = ["a", "b", "c"];
/// `memoryMb` of the deployment; the process is killed beyond it.
const MEMORY_MB: u64 = 260;
/// `limits.maxBodyBytes` of the deployment.
const MAX_BODY_BYTES: usize = 4_194_304;
/// Clients that send a long body, over all machines.
const LONG_CLIENTS: usize = 60;
/// In the trouble, this many of ten new connections go to the first machine.
const CONCENTRATED_OF_TEN: usize = 9;
/// Bytes of a body that a client sends every 100 ms: 6.5 s for a whole one.
const PACE_BYTES: usize = 65_536;
/// Clients with kept connections and short requests, over all machines.
const KEPT_CLIENTS: usize = 36;
const FIRST_EVENT_MS: u64 = 2_000;
const EVENT_COUNT: usize = 11;
const EVENT_PAUSE_MS: u64 = 60;
const HOST: &str = "desk.example";
const LOST_MOST: usize = 3;

struct Shared {
    record: Arc<Record>,
    /// Identities that reached a worker and were run.
    run: Mutex<HashMap<String, usize>>,
    is_over: AtomicBool,
    next: AtomicUsize,
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"scan-brief-free\",\"host\":\"{HOST}\",\"pathPrefix\":\"/free/\",\
         \"routeKind\":\"streaming\",\"timeoutMs\":20000,\"targetLatencyMs\":8000,\"priority\":2,\"service\":\"lm-pool\",\
         \"attempts\":2,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400}}],\
         \"services\":[{{\"name\":\"lm-pool\",\"healthPath\":\"/health\",\"connectionLimit\":360,\"engine\":{{\
         \"slots\":64,\"kvCapacityTokens\":132029,\"stride\":2,\"models\":[{{\"name\":\"m0\",\"weightsMb\":65100.0,\
         \"loadS\":9.0,\"adapters\":0,\"adapterMb\":12.0}}],\"weightsMb\":220000.0,\"adapterSlots\":8,\"loadsPerS\":1.4}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{MAX_BODY_BYTES},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

fn worker(shared: &Arc<Shared>, store: &Store, number: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("worker");
    let address = listener.local_addr().expect("address");
    let id = format!("i-{number}");
    let zone = ZONES[number % ZONES.len()];
    store.put("servers", &id, &format!(
        "{{\"service\":\"lm-pool\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\
         \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"combined\",\"born\":1000,\
         \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"sequence\":0}}"
    ));
    let shared = Arc::clone(shared);
    serve(listener, move |stream| connection(&shared, &id, stream), || false);
}

fn connection(shared: &Shared, id: &str, stream: TcpStream) {
    let mut writer = stream.try_clone().expect("clone");
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let attempt = request.header("x-attempt-id").to_owned();
        let answer = match request.path() {
            "/api/report" => {
                let body = "{\"stage\":\"combined\",\"born\":1000,\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\
                     \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":132029,\"handles\":0}";
                format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            }
            "/api/order" => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_owned(),
            _ if request.header("x-expected-instance") != id => {
                format!("HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            }
            _ => {
                *shared.run.lock().unwrap().entry(attempt.clone()).or_default() += 1;
                let bytes = request.body.len();
                drop(request);
                shared.record.note(format!("{attempt} runs at {id}, body of {bytes} bytes"));
                if stream_events(&mut writer, id, &attempt).is_err() {
                    return;
                }
                continue;
            }
        };
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn stream_events(writer: &mut TcpStream, id: &str, attempt: &str) -> std::io::Result<()> {
    thread::sleep(Duration::from_millis(FIRST_EVENT_MS));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{id}\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in 1..=EVENT_COUNT {
        let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(Duration::from_millis(EVENT_PAUSE_MS));
    }
    writer.write_all(b"0\r\n\r\n")
}

fn head(attempt: &str, body_bytes: usize) -> String {
    format!(
        "POST /free/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m0\r\nX-Token-Usage: 2368,22\r\n\
         X-Prompt-Prefix: 5c1e07a2:341,91bd3f06:227,{attempt}:1800\r\nX-Deadline-Ms: 20000\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// Reads an answer; the status if it is whole, else how it ended.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Result<u16, &'static str> {
    let answer = read_head(reader).ok_or("closed without an answer")?;
    if answer.header("transfer-encoding").contains("chunked") {
        while !read_chunk(reader).ok_or("closed inside the answer")?.is_empty() {}
    } else {
        let mut body = vec![0; answer.header("content-length").parse().unwrap_or(0)];
        std::io::Read::read_exact(reader, &mut body).map_err(|_| "closed inside the answer")?;
    }
    Ok(answer.status())
}

/// A client that keeps its connection; tells each request that was sent on a kept one and closed without an answer.
fn kept_client(shared: &Shared, machine: &Machine, closed: &Mutex<Vec<(String, String)>>) {
    while !shared.is_over.load(Ordering::Acquire) {
        let Ok(stream) = TcpStream::connect(&machine.callers) else {
            thread::sleep(Duration::from_millis(300));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(21)));
        let mut writer = stream.try_clone().expect("clone");
        let mut reader = BufReader::new(stream);
        let mut count = 0;
        while !shared.is_over.load(Ordering::Acquire) {
            let attempt = identity("e", shared.next.fetch_add(1, Ordering::AcqRel));
            shared.record.note(format!("{attempt} sent to {}, request {} of its connection", machine.name, count + 1));
            let request = head(&attempt, 4_700) + &"x".repeat(4_700);
            let answer = writer.write_all(request.as_bytes()).map_err(|_| "closed without an answer");
            let answer = answer.and_then(|()| read_answer(&mut reader));
            shared.record.note(format!("{attempt} answered by {}: {answer:?}", machine.name));
            match answer {
                Ok(200) => {}
                Ok(_) => thread::sleep(Duration::from_millis(200)),
                Err("closed without an answer") if count > 0 => {
                    closed.lock().unwrap().push((attempt, machine.name.clone()));
                    break;
                }
                Err(_) => break,
            }
            count += 1;
        }
    }
}

/// A client that sends one long body at an even pace.
fn long_client(shared: &Shared, machine: &Machine) {
    let attempt = identity("f", shared.next.fetch_add(1, Ordering::AcqRel));
    let Ok(stream) = TcpStream::connect(&machine.callers) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(21)));
    let mut writer = stream.try_clone().expect("clone");
    shared.record.note(format!("{attempt} begins to send {MAX_BODY_BYTES} bytes to {}", machine.name));
    let part = vec![b'x'; PACE_BYTES];
    let mut is_open = writer.write_all(head(&attempt, MAX_BODY_BYTES).as_bytes()).is_ok();
    let began = Instant::now();
    for number in 0..MAX_BODY_BYTES / PACE_BYTES {
        if !is_open {
            break;
        }
        is_open = writer.write_all(&part).is_ok();
        let next = began + Duration::from_millis(100 * (number as u64 + 1));
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let answer = read_answer(&mut BufReader::new(stream));
    shared.record.note(format!("{attempt} answered by {}: {answer:?}", machine.name));
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let shared = Arc::new(Shared {
        record: Arc::clone(&record),
        run: Mutex::default(),
        is_over: AtomicBool::new(false),
        next: AtomicUsize::new(0),
    });
    let store = Store::start();
    store.put("op", "config", &configuration());
    for number in 0..4 {
        worker(&shared, &store, number);
    }
    let temporary = temporary_folder();
    let machines = machines(&temporary, &store, &ZONES, MEMORY_MB);
    for machine in &machines {
        machine.start();
    }
    wait_until_ready(&machines);
    thread::sleep(Duration::from_secs(4));
    // The platform kills a process that holds more than `memoryMb`, and starts it again.
    let kills = Arc::new(AtomicUsize::new(0));
    let peak = Arc::new(AtomicU64::new(0));
    for machine in &machines {
        let (machine, shared, kills, peak) = (Arc::clone(machine), Arc::clone(&shared), Arc::clone(&kills), Arc::clone(&peak));
        thread::spawn(move || {
            // A process that this thread started ends with it, so that it goes on to the end of the program.
            loop {
                thread::sleep(Duration::from_millis(20));
                if shared.is_over.load(Ordering::Acquire) {
                    continue;
                }
                let Some(bytes) = machine.resident_bytes() else { continue };
                peak.fetch_max(bytes, Ordering::AcqRel);
                if bytes > MEMORY_MB * 1024 * 1024 {
                    shared.record.note(format!("{} holds {} MB of {MEMORY_MB}: killed", machine.name, bytes >> 20));
                    kills.fetch_add(1, Ordering::AcqRel);
                    machine.signal(SIGKILL);
                    thread::sleep(Duration::from_secs(1));
                    machine.start();
                }
            }
        });
    }
    let closed = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..KEPT_CLIENTS {
        let (shared, closed) = (Arc::clone(&shared), Arc::clone(&closed));
        let machine = Arc::clone(&machines[number % machines.len()]);
        clients.push(thread::spawn(move || kept_client(&shared, &machine, &closed)));
        thread::sleep(Duration::from_millis(75));
    }
    thread::sleep(Duration::from_secs(4));
    let is_concentrated = has_trouble();
    record.note(if is_concentrated { "most new connections go to the first machine" } else { "new connections are spread" });
    for number in 0..LONG_CLIENTS {
        let shared = Arc::clone(&shared);
        let is_at_first = is_concentrated && number % 10 < CONCENTRATED_OF_TEN;
        let index = if is_at_first { 0 } else { number % machines.len() };
        let machine = Arc::clone(&machines[index]);
        clients.push(thread::spawn(move || long_client(&shared, &machine)));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(16));
    shared.is_over.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    stop(&machines);
    let _ = std::fs::remove_dir_all(&temporary);
    let run = shared.run.lock().unwrap();
    let closed = closed.lock().unwrap();
    let lost = closed.iter().filter(|(attempt, _)| run.contains_key(attempt)).count();
    let verdict = format!(
        "LOST {}: {lost} requests of kept connections were passed on to sound workers and their connections closed without an \
         answer (more than {LOST_MOST} break the rule); {} processes beyond their memory; most memory of a process {} MB of {MEMORY_MB}; \
         {} requests run",
        if lost > LOST_MOST { "broken" } else { "held" },
        kills.load(Ordering::Acquire),
        peak.load(Ordering::Acquire) >> 20,
        run.len()
    );
    record.write(&folder.join("record.txt"), &verdict);
    i32::from(lost > LOST_MOST)
}
