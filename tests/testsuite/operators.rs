//! `limits` and `workers`, run against a fake instance with fixed answers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;

use crate::harness;

/// Starts a server that answers each of the given paths with its body, and others with 404.
fn start_fake_instance(bodies: &'static [(&'static str, &'static str)]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4_096];
            let length = stream.read(&mut request).unwrap();
            let request = String::from_utf8_lossy(&request[..length]).into_owned();
            let path = request.split(' ').nth(1).unwrap_or_default();
            let body = bodies.iter().find(|(known_path, _)| *known_path == path);
            let (status, body) = match body {
                Some((_, body)) => ("200 OK", *body),
                None => ("404 Not Found", ""),
            };
            let length = body.len();
            let answer = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
            // The client may have disconnected.
            let _sent = stream.write_all(answer.as_bytes());
        }
    });
    address
}

/// Runs a subcommand against an instance; returns its exit code and output.
fn run_command(command: &str, instance: SocketAddr, options: &[&str]) -> (i32, String) {
    let address = instance.to_string();
    let mut arguments = vec![command, "--instance", &address];
    arguments.extend(options);
    let (exit, output, errors) = harness::run(&arguments);
    (exit, format!("{output}{errors}"))
}

#[test]
fn limits_shows_each_rate_limited_worker() {
    let instance = start_fake_instance(&[(
        "/limits",
        r#"[{"worker":"w-1","service":"plain","rate_per_s":1.5,"for_ms":4200,"granted_count":7,"refused_count":2}]"#,
    )]);
    let (exit, output) = run_command("limits", instance, &[]);
    assert_eq!(exit, 0, "{output}");
    let line =
        "w-1 of plain: 1.5 requests/s, known for 4 s; granted by this instance 7, refused 2\n";
    assert_eq!(output, line);
}

#[test]
fn workers_shows_leaving_and_resting_workers() {
    let instance = start_fake_instance(&[(
        "/workers",
        r#"[{"worker":"w-1","service":"plain","leaving":{"by":"peer","for_ms":1200},"rest":null},
            {"worker":"w-2","service":"models","leaving":{"by":"row","for_ms":null},"rest":{"for_ms":500,"ends_in_ms":2500}}]"#,
    )]);
    let (exit, output) = run_command("workers", instance, &[]);
    assert_eq!(exit, 0, "{output}");
    let lines = [
        "w-1 of plain: leaving, reported by peer, known for 1.2 s",
        "w-2 of models: leaving, reported by row",
        "w-2 of models: resting for 0.5 s, 2.5 s left",
    ];
    assert_eq!(output.lines().collect::<Vec<_>>(), lines);
    let (exit, output) = run_command("workers", instance, &["--json"]);
    assert_eq!(exit, 0, "{output}");
    assert!(output.contains(r#""ends_in_ms":2500"#), "{output}");
}

#[test]
fn an_unreachable_instance_is_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed_address = listener.local_addr().unwrap();
    drop(listener);
    for command in ["limits", "workers"] {
        let (exit, output) = run_command(command, closed_address, &[]);
        assert_ne!(exit, 0);
        assert!(output.contains("could not be reached"), "{output}");
    }
}
