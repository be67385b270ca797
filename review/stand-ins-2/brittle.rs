//! Case: the workers of a service say that they are brittle, a quarter of them crashes and comes back.

use std::collections::VecDeque;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::base::*;

const ZONES: [&str; 3] = ["a", "b", "c"];
const HOST: &str = "desk.example";
const WORKERS: usize = 20;
const SLOTS: usize = 5;
const WORK_MS: u64 = 400;
/// Requests that may wait at a worker: before, and from `contactMs` after it first said that it is brittle.
const QUEUE: usize = 24;
const QUEUE_BRITTLE: usize = 2;
const CONTACT_MS: u64 = 3_000;
/// `Server-Brittle`.
const BORNE: usize = 3;
const BACK_MS: u64 = 2_000;
/// A quarter of the workers crashes once, for this long.
const CRASHED: usize = WORKERS / 4;
const CRASH_MS: u64 = 2_000;
/// Requests a second: the share of what the workers can take that is asked for usually, and in the burst.
const USUAL: f64 = 0.8;
const BURST: f64 = 2.0 * USUAL;
const BURST_MS: u64 = 4_500;
const FALLS_MOST: usize = 2 + WORKERS / 10;

#[derive(Default)]
struct State {
    is_up: bool,
    life: usize,
    born: u64,
    running: usize,
    waiting: usize,
    rejected: VecDeque<Instant>,
    brittle_since: Option<Instant>,
    open: Vec<TcpStream>,
    falls: usize,
    lost: usize,
}

struct Worker {
    id: String,
    address: String,
    zone: String,
    store: Store,
    record: Arc<Record>,
    state: Mutex<State>,
    ended: Condvar,
}

impl Worker {
    fn start(store: &Store, record: &Arc<Record>, number: usize) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("worker");
        let worker = Arc::new(Worker {
            id: format!("i-{number}"),
            address: listener.local_addr().expect("address").to_string(),
            zone: ZONES[number % 3].to_owned(),
            store: store.clone(),
            record: Arc::clone(record),
            state: Mutex::new(State { is_up: true, born: unix_ms(), ..State::default() }),
            ended: Condvar::new(),
        });
        worker.listen(listener);
        worker
    }

    /// Listens, and writes its row at once.
    fn listen(self: &Arc<Self>, listener: TcpListener) {
        let (life, born) = {
            let state = self.state.lock().unwrap();
            (state.life, state.born)
        };
        let (served, watched) = (Arc::clone(self), Arc::clone(self));
        serve(listener, move |stream| served.connection(stream, life), move || {
            let state = watched.state.lock().unwrap();
            !state.is_up || state.life != life
        });
        self.store.put("servers", &self.id, &format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"born\":{born},\"sequence\":0}}",
            self.address, self.zone
        ));
    }

    /// Ends at once, and is back after a time under the same identity.
    fn down(self: &Arc<Self>, why: &str, for_ms: u64) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.is_up = false;
        let lost = state.running + state.waiting;
        state.lost += lost;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.ended.notify_all();
        self.record.note(format!("{} {why}; {lost} requests that it had taken are lost", self.id));
        let worker = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(for_ms));
            let mut state = worker.state.lock().unwrap();
            state.life += 1;
            state.born = unix_ms();
            state.running = 0;
            state.waiting = 0;
            state.rejected.clear();
            state.is_up = true;
            drop(state);
            loop {
                if let Ok(listener) = TcpListener::bind(&worker.address) {
                    worker.record.note(format!("{} is back", worker.id));
                    return worker.listen(listener);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
    }

    fn connection(self: &Arc<Self>, stream: TcpStream, life: usize) {
        let mut writer = stream.try_clone().expect("clone");
        self.state.lock().unwrap().open.extend(stream.try_clone());
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let attempt = request.header("x-attempt-id");
            if request.header("x-expected-instance") != self.id {
                let answer = format!("HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let Some(answer) = self.work(attempt, life) else { return };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Runs a request, or rejects it; none if the worker ends meanwhile.
    fn work(self: &Arc<Self>, attempt: &str, life: usize) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        if !state.is_up || state.life != life {
            return None;
        }
        let is_short = state.brittle_since.is_some_and(|since| since.elapsed() >= Duration::from_millis(CONTACT_MS));
        let queue = if is_short { QUEUE_BRITTLE } else { QUEUE };
        if state.running >= SLOTS && state.waiting >= queue {
            let now = Instant::now();
            state.rejected.push_back(now);
            while state.rejected.front().is_some_and(|at| now - *at > Duration::from_secs(1)) {
                state.rejected.pop_front();
            }
            let count = state.rejected.len();
            let words = Self::words(&state);
            let falls = state.brittle_since.is_some() && count > BORNE;
            state.falls += usize::from(falls);
            drop(state);
            if falls {
                self.down(&format!("falls over, {count} rejected in a second"), BACK_MS);
            }
            return Some(format!("HTTP/1.1 503 X\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n{words}Content-Length: 0\r\n\r\n"));
        }
        if state.running >= SLOTS {
            state.waiting += 1;
            while state.running >= SLOTS && state.is_up && state.life == life {
                state = self.ended.wait(state).unwrap();
            }
            if !state.is_up || state.life != life {
                return None;
            }
            state.waiting -= 1;
        }
        state.running += 1;
        drop(state);
        thread::sleep(Duration::from_millis(WORK_MS));
        let mut state = self.state.lock().unwrap();
        if !state.is_up || state.life != life {
            return None;
        }
        state.running -= 1;
        let words = Self::words(&state);
        drop(state);
        self.ended.notify_one();
        Some(format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s.{}\r\n{words}Content-Length: 4\r\n\r\ndone",
            self.id
        ))
    }

    /// What the worker says in all its answers.
    fn words(state: &State) -> String {
        let brittle = if state.brittle_since.is_some() { format!("Server-Brittle: {BORNE}\r\n") } else { String::new() };
        format!("X-Instance-Load: {},{},{SLOTS}\r\n{brittle}", state.running, state.waiting)
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"desk\",\"host\":\"{HOST}\",\"pathPrefix\":\"/desk/\",\"routeKind\":\"non_idempotent\",\
         \"timeoutMs\":4000,\"targetLatencyMs\":2000,\"priority\":1,\"service\":\"desk\",\"attempts\":1}}],\
         \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\",\"connectionLimit\":360}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Callers with kept connections, one list of idle ones for each machine.
struct Callers {
    machines: Vec<Arc<Machine>>,
    idle: Vec<Mutex<Vec<BufReader<TcpStream>>>>,
    count: AtomicUsize,
    answers: Mutex<Vec<(String, String)>>,
}

impl Callers {
    fn ask(&self, record: &Record) {
        let number = self.count.fetch_add(1, Ordering::AcqRel);
        let index = number % self.machines.len();
        let attempt = identity("q", number);
        let kept = self.idle[index].lock().unwrap().pop();
        let opened = kept.or_else(|| TcpStream::connect(&self.machines[index].callers).ok().map(BufReader::new));
        let Some(mut reader) = opened else { return };
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_secs(6)));
        let request = format!(
            "POST /desk/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nwork"
        );
        let sent = reader.get_mut().write_all(request.as_bytes()).is_ok();
        let answer = if sent { read_head(&mut reader) } else { None };
        let status = answer.as_ref().map_or("closed".to_owned(), |answer| answer.status().to_string());
        if let Some(answer) = answer {
            let mut body = vec![0; answer.header("content-length").parse().unwrap_or(0)];
            if std::io::Read::read_exact(&mut reader, &mut body).is_ok() && answer.header("connection") != "close" {
                self.idle[index].lock().unwrap().push(reader);
            }
        }
        record.note(format!("{attempt} at {}: {status}", self.machines[index].name));
        self.answers.lock().unwrap().push((attempt, status));
    }
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", &configuration());
    let workers: Vec<Arc<Worker>> = (0..WORKERS).map(|number| Worker::start(&store, &record, number)).collect();
    let temporary = temporary_folder();
    let machines = machines(&temporary, &store, &ZONES, 260);
    for machine in &machines {
        machine.start();
    }
    wait_until_ready(&machines);
    thread::sleep(Duration::from_secs(4));
    let callers = Arc::new(Callers {
        idle: machines.iter().map(|_| Mutex::default()).collect(),
        machines: machines.clone(),
        count: AtomicUsize::new(0),
        answers: Mutex::default(),
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let ask_for = |share: f64, for_ms: u64| {
        let every = Duration::from_secs_f64(WORK_MS as f64 / 1_000.0 / (WORKERS * SLOTS) as f64 / share);
        let (began, mut count) = (Instant::now(), 0);
        while began.elapsed() < Duration::from_millis(for_ms) {
            let (callers, record) = (Arc::clone(&callers), Arc::clone(&record));
            thread::spawn(move || callers.ask(&record));
            count += 1;
            thread::sleep((began + every * count).saturating_duration_since(Instant::now()));
        }
    };
    ask_for(USUAL, 2_000);
    record.note("the workers are brittle");
    for worker in &workers {
        worker.state.lock().unwrap().brittle_since = Some(Instant::now());
    }
    ask_for(USUAL, CONTACT_MS + 2_000);
    let before: usize = workers.iter().map(|worker| worker.state.lock().unwrap().falls).sum();
    if has_trouble() {
        for worker in &workers[..CRASHED] {
            worker.down("crashes", CRASH_MS);
        }
    }
    record.note("many users come");
    ask_for(BURST, BURST_MS);
    record.note("the burst is over");
    ask_for(USUAL, 8_000);
    thread::sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::Release);
    stop(&machines);
    let _ = std::fs::remove_dir_all(&temporary);
    let falls: usize = workers.iter().map(|worker| worker.state.lock().unwrap().falls).sum();
    let lost: usize = workers.iter().map(|worker| worker.state.lock().unwrap().lost).sum();
    let answers = callers.answers.lock().unwrap();
    let count = |status: &str| answers.iter().filter(|answer| answer.1 == status).count();
    let verdict = format!(
        "LIMIT {}: brittle workers fell over {falls} times, {before} of them before the crash (more than {FALLS_MOST} break the rule); \
         {lost} requests that workers had taken were lost; {} requests: 200 {}, 502 {}, 503 {}, closed {}",
        if falls > FALLS_MOST { "broken" } else { "held" },
        answers.len(), count("200"), count("502"), count("503"), count("closed")
    );
    record.write(&folder.join("record.txt"), &verdict);
    i32::from(falls > FALLS_MOST)
}
