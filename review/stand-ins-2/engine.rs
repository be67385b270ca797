//! A model worker as the platform's pages describe it, as far as the cases need it: rows, reports, orders,
//! streams, crashes and starts under the same identity.

use crate::base::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time of a load from the worker's own disk, in milliseconds.
const DISK_LOAD_MS: u64 = 2_000;

#[derive(Default)]
struct State {
    born: u64,
    models: Vec<String>,
    sequence: u64,
    is_busy: bool,
    open: Vec<TcpStream>,
}

/// What a worker does with a request that it begins to run.
pub enum Run {
    /// It answers with a stream of events.
    Stream { first_ms: u64, count: usize, pause_ms: u64 },
    /// It crashes after a time in milliseconds, and is back after another.
    Crash { after_ms: u64, back_ms: u64 },
}

type Decide = dyn Fn(&Worker, &Message) -> Run + Send + Sync;

pub struct Worker {
    pub id: String,
    address: String,
    zone: String,
    store: Store,
    state: Mutex<State>,
    is_up: AtomicBool,
    life: AtomicU64,
    decide: Box<Decide>,
}

impl Worker {
    /// Starts a worker that holds model `m0`.
    pub fn start(
        store: &Store,
        id: &str,
        zone: &str,
        decide: impl Fn(&Worker, &Message) -> Run + Send + Sync + 'static,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("worker");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address: listener.local_addr().expect("address").to_string(),
            zone: zone.to_owned(),
            store: store.clone(),
            state: Mutex::new(State { born: unix_ms(), models: vec!["m0".to_owned()], ..State::default() }),
            is_up: AtomicBool::new(true),
            life: AtomicU64::new(0),
            decide: Box::new(decide),
        });
        worker.listen(listener);
        worker.write_row();
        worker
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let life = self.life.load(Ordering::Acquire);
        let (served, watched) = (Arc::clone(self), Arc::clone(self));
        let is_over = move || !watched.is_up.load(Ordering::Acquire) || watched.life.load(Ordering::Acquire) != life;
        serve(listener, move |stream| served.connection(stream), is_over);
    }

    fn models(models: &[String]) -> String {
        let held: Vec<String> =
            models.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")).collect();
        held.join(",")
    }

    fn write_row(&self) {
        let state = self.state.lock().unwrap();
        let row = format!(
            "{{\"service\":\"lm-pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"stage\":\"combined\",\"born\":{},\"models\":[{}],\"sequence\":{},\
             \"available\":{{\"inMemory\":[],\"onDisk\":[\"m0\"]}}}}",
            self.address, self.zone, state.born, Self::models(&state.models), state.sequence
        );
        drop(state);
        self.store.put("servers", &self.id, &row);
    }

    /// Ends at once: nothing listens, all connections close, nothing is said to the store.
    fn crash(self: &Arc<Self>, back_ms: u64) {
        if !self.is_up.swap(false, Ordering::AcqRel) {
            return;
        }
        for stream in self.state.lock().unwrap().open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(back_ms));
            *worker.state.lock().unwrap() = State { born: unix_ms(), ..State::default() };
            worker.life.fetch_add(1, Ordering::AcqRel);
            worker.is_up.store(true, Ordering::Release);
            loop {
                if let Ok(listener) = TcpListener::bind(&worker.address) {
                    worker.listen(listener);
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
            worker.write_row();
        });
    }

    fn connection(self: &Arc<Self>, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("clone");
        if let Ok(open) = stream.try_clone() {
            self.state.lock().unwrap().open.push(open);
        }
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !self.is_up.load(Ordering::Acquire) {
                return;
            }
            let answer = match request.path() {
                "/api/report" => self.report(),
                "/api/order" => self.order(&request),
                _ if request.header("x-expected-instance") != self.id || !self.holds(request.header("x-model")) => format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    request.header("x-attempt-id"), self.id
                ),
                _ => match (self.decide)(self, &request) {
                    Run::Crash { after_ms, back_ms } => {
                        thread::sleep(Duration::from_millis(after_ms));
                        self.crash(back_ms);
                        return;
                    }
                    Run::Stream { first_ms, count, pause_ms } => {
                        if self.stream(&mut writer, &request, first_ms, count, pause_ms).is_err() {
                            return;
                        }
                        continue;
                    }
                },
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn holds(&self, model: &str) -> bool {
        self.state.lock().unwrap().models.iter().any(|held| held == model)
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let body = format!(
            "{{\"stage\":\"combined\",\"born\":{},\"models\":[{}],\"busy\":{},\"sequence\":{},\"waiting\":0,\"running\":0,\
             \"kvUsed\":0,\"kvTotal\":132029,\"handles\":0}}",
            state.born, Self::models(&state.models), state.is_busy, state.sequence
        );
        format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }

    fn order(self: &Arc<Self>, request: &Message) -> String {
        let order = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = self.state.lock().unwrap();
        let model = order.get("model").text().to_owned();
        let is_held = state.models.contains(&model);
        let is_load = order.get("operation").text() == "loading";
        let expected = order.get("expectedCount").number() as u64;
        let status = if request.header("x-expected-instance") != self.id {
            421
        } else if is_load == is_held {
            200
        } else if state.is_busy || expected != state.sequence {
            409
        } else {
            state.sequence += 1;
            state.is_busy = true;
            let (worker, life) = (Arc::clone(self), self.life.load(Ordering::Acquire));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(if is_load { DISK_LOAD_MS } else { 50 }));
                if worker.life.load(Ordering::Acquire) != life || !worker.is_up.load(Ordering::Acquire) {
                    return;
                }
                let mut state = worker.state.lock().unwrap();
                state.is_busy = false;
                if is_load {
                    state.models.push(model);
                } else {
                    state.models.retain(|held| *held != model);
                }
                drop(state);
                worker.write_row();
            });
            202
        };
        format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")
    }

    fn stream(&self, writer: &mut TcpStream, request: &Message, first_ms: u64, count: usize, pause_ms: u64) -> std::io::Result<()> {
        let attempt = request.header("x-attempt-id");
        thread::sleep(Duration::from_millis(first_ms));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{}\r\nX-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for number in 1..=count {
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(Duration::from_millis(pause_ms));
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
