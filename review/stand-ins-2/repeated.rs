//! Case: a request that crashes each worker comes again, with the same path, caller and body.

use crate::base::*;
use crate::engine::{Run, Worker};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ZONES: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 9;
const HOST: &str = "desk.example";
const CONTACT_S: f64 = 3.0;
const RETRIES_MOST: usize = 3;
/// Body of the request that crashes each worker that begins to run it.
const POISON: &str = "summary of the record that crashes each worker";
const POISON_EVERY_MS: u64 = 1_500;
const BACK_MS: u64 = 2_000;
const PLAYED_S: u64 = 40;

fn configuration() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"desk-reply\",\"host\":\"{HOST}\",\"pathPrefix\":\"/desk/\",\
         \"routeKind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":800,\"priority\":0,\"service\":\"lm-pool\",\
         \"attempts\":1,\"sticky\":true,\"resumable\":false,\"gapTargetMs\":400}}],\
         \"services\":[{{\"name\":\"lm-pool\",\"healthPath\":\"/health\",\"connectionLimit\":360,\"engine\":{{\
         \"slots\":64,\"kvCapacityTokens\":132029,\"stride\":2,\"models\":[{{\"name\":\"m0\",\"weightsMb\":65100.0,\
         \"loadS\":9.0,\"adapters\":0,\"adapterMb\":12.0,\"diskS\":2.0}}],\"weightsMb\":220000.0,\"adapterSlots\":8,\
         \"loadsPerS\":1.4}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// Sends one request on a new connection and reads its answer.
fn send(machine: &Machine, attempt: &str, body: &str, last_part: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(&machine.callers) else { return "not connected".to_owned() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(16)));
    let request = format!(
        "POST /desk/reply HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m0\r\nX-Token-Usage: 1460,22\r\n\
         X-Prompt-Prefix: 5c1e07a2:210,91bd3f06:140,{last_part}:1110\r\nX-Deadline-Ms: 15000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return "closed".to_owned();
    }
    let mut reader = BufReader::new(stream);
    let Some(answer) = read_head(&mut reader) else { return "closed without an answer".to_owned() };
    if answer.header("transfer-encoding").contains("chunked") {
        loop {
            match read_chunk(&mut reader) {
                None => return format!("{} broken off", answer.status()),
                Some(chunk) if chunk.is_empty() => break,
                Some(_) => {}
            }
        }
    }
    answer.status().to_string()
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let store = Store::start();
    store.put("op", "config", &configuration());
    let runs: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    for number in 0..WORKERS {
        let (record, runs) = (Arc::clone(&record), Arc::clone(&runs));
        Worker::start(&store, &format!("i-{number}"), ZONES[number % 3], move |worker, request| {
            if request.body != POISON.as_bytes() {
                return Run::Stream { first_ms: 40, count: 11, pause_ms: 30 };
            }
            let attempt = request.header("x-attempt-id").to_owned();
            record.note(format!("{attempt} runs at {}, which crashes", worker.id));
            runs.lock().unwrap().push((record.now_s(), attempt));
            Run::Crash { after_ms: 20, back_ms: BACK_MS }
        });
    }
    let temporary = temporary_folder();
    let machines = machines(&temporary, &store, &ZONES, 260);
    for machine in &machines {
        machine.start();
    }
    wait_until_ready(&machines);
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicUsize::new(0));
    let served = Arc::new(AtomicUsize::new(0));
    let sent = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    // Sound requests share their path, their caller and the first parts of their prompts.
    for number in 0..12 {
        let (machine, record) = (Arc::clone(&machines[number % 3]), Arc::clone(&record));
        let (is_over, next) = (Arc::clone(&is_over), Arc::clone(&next));
        let (served, sent) = (Arc::clone(&served), Arc::clone(&sent));
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Acquire) {
                let count = next.fetch_add(1, Ordering::AcqRel);
                let attempt = identity("e", count);
                let answer = send(&machine, &attempt, &format!("sound {attempt}"), &format!("{count:08x}"));
                sent.fetch_add(1, Ordering::AcqRel);
                served.fetch_add(usize::from(answer == "200"), Ordering::AcqRel);
                record.note(format!("{attempt}, sound, at {}: {answer}", machine.name));
                thread::sleep(Duration::from_millis(400));
            }
        }));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_secs(4));
    let rounds = if has_trouble() { PLAYED_S * 1_000 / POISON_EVERY_MS } else { 0 };
    for round in 0..rounds as usize {
        let (machine, record) = (Arc::clone(&machines[round % 3]), Arc::clone(&record));
        let count = next.fetch_add(1, Ordering::AcqRel);
        thread::spawn(move || {
            let attempt = identity("d", count);
            record.note(format!("{attempt}, with the body that crashes workers, is sent to {}", machine.name));
            // Every try is a request of its own, and so is the last part of its prompt.
            let answer = send(&machine, &attempt, POISON, &format!("{count:08x}"));
            record.note(format!("{attempt} answered by {}: {answer}", machine.name));
        });
        thread::sleep(Duration::from_millis(POISON_EVERY_MS));
    }
    if rounds == 0 {
        thread::sleep(Duration::from_secs(PLAYED_S));
    }
    is_over.store(true, Ordering::Release);
    for client in clients {
        let _ = client.join();
    }
    stop(&machines);
    let _ = std::fs::remove_dir_all(&temporary);
    let runs = runs.lock().unwrap();
    let third_s = runs.get(2).map_or(f64::MAX, |run| run.0);
    let late = runs.iter().filter(|run| run.0 > third_s + CONTACT_S).count();
    let verdict = format!(
        "BUDGET {}: {late} tries reached workers later than {CONTACT_S} s after the third crash (more than {RETRIES_MOST} break the \
         rule); {} crashes in all; sound requests served {} of {}",
        if late > RETRIES_MOST { "broken" } else { "held" },
        runs.len(),
        served.load(Ordering::Acquire),
        sent.load(Ordering::Acquire)
    );
    record.write(&folder.join("record.txt"), &verdict);
    i32::from(late > RETRIES_MOST)
}
