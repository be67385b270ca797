//! Runs gateways as separate processes: starts them, signals them by process ID, ends them.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::Mutex;

use crate::addresses::PortError;
use crate::addresses::link_ip;
use crate::addresses::loopback_ip;
use crate::addresses::reserve_free_port;
use crate::addresses::reserve_peer_port;
use crate::check::bounded;
use crate::check::cold;
use crate::check::stop;
use crate::concentrated_callers::LINK_BYTES_PER_S;
use crate::schedule::DOMAINS;
use cranereach_http::system;
use cranereach_standin::narrow_link;

/// Interval at which a process is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Time to wait for a started process to listen, in milliseconds.
const LISTEN_TIMEOUT_MS: u64 = 20_000;

/// Time after which a platform sends no new callers to a stopping gateway, in milliseconds: it
/// probes each second and takes a gateway out of rotation after two failed probes.
const ROTATION_DELAY_MS: u64 = 2_000;

/// Number of file descriptors of a gateway with a narrow link.
const DESCRIPTOR_COUNT: u64 = 600;

/// Delay of a gateway's own work above which its processor counts as overloaded, in milliseconds.
const DELAY_TARGET_MS: u64 = 2_000;

/// Error of running a gateway.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// No free port was found.
    #[error(transparent)]
    Port(#[from] PortError),
    /// The network link before it cannot be started.
    #[error("cannot start a network link: {0}")]
    Link(#[from] io::Error),
    /// A file cannot be written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Underlying error.
        source: io::Error,
    },
    /// A process cannot be started, or exited right after its start.
    #[error("gateway {number} cannot run: {reason}")]
    Start {
        /// Number of the gateway.
        number: usize,
        /// Reason.
        reason: String,
    },
}

/// A gateway, whose process may be stopped and restarted.
#[derive(Debug)]
pub struct Gateway {
    /// Number of the gateway.
    pub number: usize,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address of the readiness probe.
    pub ready_address: SocketAddr,
    is_in_rotation: AtomicBool,
    binary: PathBuf,
    folder: PathBuf,
    state: Mutex<State>,
}

/// The process of a gateway, if it runs, and whether it was sent SIGTERM.
#[derive(Debug, Default)]
struct State {
    child: Option<Child>,
    is_stopping: bool,
}

/// Addresses that a gateway listens on, beside that of the readiness probe.
#[derive(Debug)]
struct ListenAddresses {
    callers: SocketAddr,
    peers: String,
    metrics: SocketAddr,
}

/// Returns the failure domain and region of the gateway or worker with a number.
pub fn domain_and_region_of(number: usize) -> (&'static str, &'static str) {
    DOMAINS[number % DOMAINS.len()]
}

/// Finds free ports and writes settings for one gateway per address in `stores`, each with a network
/// link of `link_mbps` if it is narrow.
pub async fn prepare(
    binary: &Path,
    folder: &Path,
    stores: &[SocketAddr],
    link_mbps: Option<f64>,
) -> Result<Vec<Gateway>, GatewayError> {
    let ips: Vec<String> = (1..=stores.len())
        .map(|last| loopback_ip(last).to_string())
        .collect();
    // Kept bound until all ports are found, so that none is found twice.
    let (peer_port, _peer_listeners) = reserve_peer_port(&ips).await?;
    let mut gateways = Vec::new();
    for (number, store) in stores.iter().enumerate() {
        let ip = &ips[number];
        let reserved = [
            reserve_free_port(ip).await?,
            reserve_free_port(ip).await?,
            reserve_free_port(ip).await?,
        ];
        let [caller_address, ready_address, metrics] =
            reserved.each_ref().map(|(address, _)| *address);
        let entry_address = match link_mbps {
            Some(_narrow) => narrow_link::start(caller_address, LINK_BYTES_PER_S).await?,
            None => caller_address,
        };
        let gateway = Gateway {
            number,
            caller_address: entry_address,
            ready_address,
            is_in_rotation: AtomicBool::new(true),
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            state: Mutex::default(),
        };
        let listen = ListenAddresses {
            callers: caller_address,
            peers: format!("{ip}:{peer_port}"),
            metrics,
        };
        gateway.write_settings(&listen, *store, &ips, link_mbps)?;
        gateways.push(gateway);
    }
    Ok(gateways)
}

impl Gateway {
    /// Starts the process unless it is running, and waits until it listens.
    pub async fn start(&self) -> Result<(), GatewayError> {
        let mut state = self.state.lock().await;
        if state.child.is_some() {
            return Ok(());
        }
        let child = Command::new(&self.binary)
            .arg("soak-gateway")
            .arg("--settings")
            .arg(self.file_path("jsonc"))
            .arg("--link-ip")
            .arg(link_ip(self.number).to_string())
            .stdin(Stdio::null())
            .stdout(self.open_for_append("log")?)
            .stderr(self.open_for_append("err")?)
            .kill_on_drop(true)
            .spawn();
        state.child = Some(child.map_err(|error| self.start_error(error.to_string()))?);
        state.is_stopping = false;
        drop(state);
        self.wait_until_listening().await?;
        self.is_in_rotation.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Waits until callers can connect; returns an error if the process exits before that.
    async fn wait_until_listening(&self) -> Result<(), GatewayError> {
        for _ in 0..LISTEN_TIMEOUT_MS / POLL_INTERVAL_MS {
            if TcpStream::connect(self.caller_address).await.is_ok() {
                return Ok(());
            }
            let mut state = self.state.lock().await;
            let ended = state.child.as_mut().map(Child::try_wait);
            match ended {
                Some(Ok(Some(status))) if !state.is_stopping => {
                    let stderr = fs::read_to_string(self.file_path("err")).unwrap_or_default();
                    let line = stderr.lines().last().unwrap_or_default();
                    return Err(self.start_error(format!("{status}: {line}")));
                }
                // Another fault has ended it meanwhile.
                None | Some(Ok(Some(_))) => return Ok(()),
                Some(_) => {}
            }
            drop(state);
            wait_for_next_poll().await;
        }
        // Another fault has frozen it, or it is slow. Callers' requests show whether it serves.
        Ok(())
    }

    /// Sends a signal by name; does nothing if the process is gone.
    pub async fn signal(&self, name: &str) {
        let state = self.state.lock().await;
        self.signal_locked(&state, name).await;
    }

    /// Sends a signal while the state is locked, so that the process cannot be replaced meanwhile.
    async fn signal_locked(&self, state: &State, name: &str) {
        let Some(id) = state.child.as_ref().and_then(Child::id) else {
            return;
        };
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id.to_string())
            .status()
            .await;
        if !sent.is_ok_and(|status| status.success()) {
            eprintln!("gateway {}: sending signal {name} failed", self.number);
        }
    }

    /// Kills the process at once, as a crash would.
    pub async fn kill(&self) {
        self.is_in_rotation.store(false, Ordering::Relaxed);
        let mut state = self.state.lock().await;
        if let Some(mut child) = state.child.take() {
            // It may have exited already.
            let _killed = child.kill().await;
        }
        state.is_stopping = false;
    }

    /// Sends SIGTERM to the process; returns whether it exited within its grace time, and kills it
    /// otherwise.
    ///
    /// Takes it out of rotation after `ROTATION_DELAY_MS`, as the platform would.
    pub async fn stop(&self) -> bool {
        let id = {
            let mut state = self.state.lock().await;
            self.signal_locked(&state, "TERM").await;
            state.is_stopping = true;
            state.child.as_ref().and_then(Child::id)
        };
        let poll_limit = (stop::GRACE_S * 1_000.0) as u64 / POLL_INTERVAL_MS;
        for poll_count in 0..poll_limit {
            if poll_count * POLL_INTERVAL_MS == ROTATION_DELAY_MS {
                self.is_in_rotation.store(false, Ordering::Relaxed);
            }
            let mut state = self.state.lock().await;
            let is_same_process = state.child.as_ref().and_then(Child::id) == id;
            let has_ended = state
                .child
                .as_mut()
                .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
            if has_ended {
                state.child = None;
                return true;
            }
            drop(state);
            if !is_same_process {
                return true;
            }
            wait_for_next_poll().await;
        }
        self.kill().await;
        false
    }

    /// Returns whether the process exited although nothing had stopped it. If so, the gateway can be
    /// started again.
    pub async fn has_ended_by_itself(&self) -> bool {
        let mut state = self.state.lock().await;
        let ended = state.child.as_mut().map(Child::try_wait);
        let has_ended = matches!(ended, Some(Ok(Some(_)))) && !state.is_stopping;
        if has_ended {
            state.child = None;
        }
        has_ended
    }

    /// Returns whether new callers are sent to this gateway.
    pub fn is_in_rotation(&self) -> bool {
        self.is_in_rotation.load(Ordering::Relaxed)
    }

    /// Returns the resident memory in bytes and the number of open file descriptors, if the process
    /// runs.
    pub async fn resource_usage(&self) -> Option<(u64, u64)> {
        let id = self.state.lock().await.child.as_ref()?.id()?;
        let memory_bytes = system::resident_bytes_of(&id.to_string())?;
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?;
        Some((memory_bytes, descriptors.count() as u64))
    }

    /// Returns the path of this gateway's file with an extension.
    fn file_path(&self, extension: &str) -> PathBuf {
        let name = format!("gateway-{}.{extension}", self.number);
        self.folder.join(name)
    }

    /// Opens this gateway's file with an extension for appending.
    fn open_for_append(&self, extension: &str) -> Result<File, GatewayError> {
        let path = self.file_path(extension);
        let opened = File::options().create(true).append(true).open(&path);
        opened.map_err(|source| file_error(&path, source))
    }

    /// Returns the error of a process that cannot run.
    fn start_error(&self, reason: String) -> GatewayError {
        GatewayError::Start {
            number: self.number,
            reason,
        }
    }

    /// Writes the settings file.
    fn write_settings(
        &self,
        listen: &ListenAddresses,
        store: SocketAddr,
        seeds: &[String],
        link_mbps: Option<f64>,
    ) -> Result<(), GatewayError> {
        let (domain, region) = domain_and_region_of(self.number);
        let domains: serde_json::Map<_, _> = DOMAINS
            .iter()
            .map(|(domain, region)| ((*domain).to_owned(), json!(region)))
            .collect();
        let settings = json!({
            "instance": {
                "id": format!("soak-{}", self.number), "failure_domain": domain,
                "region": region, "failure_domains": domains,
            },
            "listen": {
                "callers": listen.callers, "ready": self.ready_address, "peers": listen.peers,
                "metrics": listen.metrics,
            },
            "platform": { "adapter": cranereach_platform::ADAPTER.name, "store": store.to_string() },
            "peers": { "seeds": seeds.iter().map(|ip| format!("{ip}:1")).collect::<Vec<_>>() },
            "bounds": {
                "grace_s": stop::GRACE_S,
                "drain_ms": bounded::DRAIN_MS,
                "configuration_ms": bounded::CONFIGURATION_MS,
                "is_revocation_strict": true,
                "revocation_ms": bounded::REVOCATION_MS,
                "evacuation_ms": bounded::EVACUATION_MS,
                "cold_excess_ratio": cold::EXCESS_RATIO,
                "cold_allowance_count": cold::ALLOWANCE_COUNT,
            },
            "resources": {
                "link_mbps": link_mbps,
                "descriptor_count": link_mbps.map(|_narrow| DESCRIPTOR_COUNT),
                // All processes of a run share a machine, which may be busy with other things.
                "delay_target_ms": DELAY_TARGET_MS,
            },
        });
        let path = self.file_path("jsonc");
        fs::write(&path, settings.to_string()).map_err(|source| file_error(&path, source))
    }
}

/// Waits until the next poll of a process.
async fn wait_for_next_poll() {
    tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
}

/// Returns the error of a file that cannot be written.
fn file_error(path: &Path, source: io::Error) -> GatewayError {
    GatewayError::File {
        path: path.display().to_string(),
        source,
    }
}
