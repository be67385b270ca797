//! Starts and stops processes of the binary for tests.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use serde_json::Value;
use serde_json::json;

use cranereach_http::client::JsonClient;
use cranereach_http::pool::Pool;
use cranereach_standin::load;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;

/// Declarations that a [`ProcessDeployment`] applies.
pub const DECLARATIONS: &str = include_str!("golden/declarations.jsonc");

/// Generous timeout for whatever a test waits for, in milliseconds.
pub const WAIT_TIMEOUT_MS: u64 = 60_000;

/// A process of the binary, killed when dropped.
pub struct Process {
    child: Child,
    output: BufReader<std::process::ChildStdout>,
    /// First line of its output.
    pub startup_line: Value,
}

impl Process {
    /// Starts the binary and reads its first line.
    pub fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_cranereach"))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let output = child.stdout.take().expect("the output is piped");
        let mut process = Self {
            child,
            output: BufReader::new(output),
            startup_line: Value::Null,
        };
        process.startup_line = process.next_line();
        process
    }

    /// Reads the next line of its output; null if it is not JSON.
    pub fn next_line(&mut self) -> Value {
        let mut line = String::new();
        self.output
            .read_line(&mut line)
            .expect("the output can be read");
        serde_json::from_str(&line).unwrap_or(Value::Null)
    }

    /// Returns the address of a stand-in.
    pub fn address(&self) -> String {
        self.startup_line["address"]
            .as_str()
            .expect("a stand-in prints its address")
            .to_owned()
    }

    /// Returns the address on which an entry instance listens for one kind of connection.
    pub fn address_of(&self, kind: &str) -> String {
        self.startup_line["addresses"][kind]
            .as_str()
            .expect("an entry instance prints its addresses")
            .to_owned()
    }

    /// Sends the process a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "signal {name} could not be sent"
        );
    }

    /// Waits until the process exits and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child
            .wait()
            .expect("the process can be waited for")
            .code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _waited = self.child.wait();
    }
}

/// Runs the binary until it exits; returns exit code, standard output and standard error.
pub fn run(arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_cranereach"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code().unwrap_or(-1),
        text(&output.stdout),
        text(&output.stderr),
    )
}

/// Creates an empty folder with a unique name.
pub fn scratch_folder(name: &str) -> PathBuf {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{name}-{}-{number}", std::process::id()));
    fs::create_dir_all(&path).expect("the folder can be created");
    path
}

/// Writes the settings file of an entry instance; returns its path.
pub fn write_settings(folder: &std::path::Path, id: &str, platform: &str) -> String {
    let settings = json!({
        "instance": { "id": id, "failure_domain": "d1" },
        "platform": { "table": platform, "objects": platform, "instances": platform, "head_every_ms": 500, "list_every_ms": 300 },
        "peers": { "secret": "test", "digest_every_ms": 100 },
        "operators": { "token": "operator" },
    });
    let file = folder.join(format!("{id}.jsonc"));
    fs::write(&file, settings.to_string()).expect("the file can be written");
    file.display().to_string()
}

/// Adds an instance to the list of the platform's stand-in.
pub async fn list_instance(platform: &str, listed: &Value) {
    let client = JsonClient::new(platform);
    let answer = client
        .post("/instances", listed, WAIT_TIMEOUT_MS)
        .await
        .expect("the platform answers");
    assert_eq!(answer.status, 200);
}

/// A minimal deployment in separate processes: platform, engine, service, entry instance.
pub struct ProcessDeployment {
    /// Folder of the settings files.
    pub folder: PathBuf,
    /// The platform.
    pub platform: Process,
    /// The engine.
    pub engine: Process,
    /// The plain service (not a model engine).
    pub service: Process,
    /// The entry instance.
    pub entry: Process,
}

impl ProcessDeployment {
    /// Starts all processes, applies [`DECLARATIONS`] and waits until the entry instance is
    /// ready.
    pub async fn start(name: &str) -> Self {
        let folder = scratch_folder(name);
        let platform = Process::start(&["stand-in", "platform"]);
        let engine = Process::start(&[
            "stand-in",
            "engine",
            "--memory-bytes",
            "100",
            "--token-us",
            "20000",
        ]);
        let service = Process::start(&["stand-in", "service"]);
        let settings = write_settings(&folder, "entry-1", &platform.address());
        let declared = folder.join("declared");
        fs::create_dir_all(&declared).expect("the folder can be created");
        fs::write(declared.join("all.jsonc"), DECLARATIONS).expect("the file can be written");
        let (code, _output, errors) = run(&[
            "apply",
            "--settings",
            &settings,
            &declared.display().to_string(),
        ]);
        assert_eq!(code, 0, "{errors}");
        let entry = Process::start(&["serve", "--settings", &settings]);
        let deployment = Self {
            folder,
            platform,
            engine,
            service,
            entry,
        };
        deployment.list_all().await;
        deployment.wait_until_ready().await;
        deployment
    }

    /// Adds the engine, the service and the entry instance to the platform's list.
    async fn list_all(&self) {
        let listed = |id: &str, role: &str, address: String, pool: Option<&str>| {
            json!({
                "id": id, "role": role, "state": "live", "domain": "d1", "address": address, "pool": pool,
            })
        };
        let platform = self.platform.address();
        list_instance(
            &platform,
            &listed("w1", "worker", self.engine.address(), Some("text")),
        )
        .await;
        list_instance(
            &platform,
            &listed("s1", "worker", self.service.address(), Some("ledger")),
        )
        .await;
        list_instance(
            &platform,
            &listed("entry-1", "entry", self.entry.address_of("peers"), None),
        )
        .await;
    }

    /// Waits until the entry instance is ready.
    pub async fn wait_until_ready(&self) {
        let operators = JsonClient::new(&self.entry.address_of("operators"));
        let mut is_ready = false;
        while !is_ready {
            is_ready = operators
                .get("/health/ready", WAIT_TIMEOUT_MS)
                .await
                .is_ok_and(|answer| answer.status == 200);
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }

    /// Waits until the engine has started at least `count` requests.
    pub async fn wait_for_runs(&self, count: u64) {
        let engine = JsonClient::new(&self.engine.address());
        loop {
            let answer = engine
                .get("/stand-in/ledger", WAIT_TIMEOUT_MS)
                .await
                .expect("the engine answers");
            let ledger: Value = engine.read(&answer).expect("the ledger is JSON");
            if ledger["run_count"].as_u64() >= Some(count) {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
}

/// Repeats a call until the answer is complete and has the given status; has no timeout.
pub async fn call_until_status(pool: &Pool<Full<Bytes>>, call: &Call, status: u16) -> Outcome {
    loop {
        let outcome = load::send(pool, call).await;
        if outcome.status == status && outcome.is_whole {
            return outcome;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
