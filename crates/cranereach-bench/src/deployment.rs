//! Stand-in platform, upstreams and entry instances on loopback, in one process.

use std::io;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::caller::Caller;
use crate::waiting::TimedOut;
use crate::waiting::wait_until;
use cranereach_core::names::FailureDomain;
use cranereach_core::names::InstanceId;
use cranereach_core::names::PoolName;
use cranereach_entry::apply::ApplyError;
use cranereach_entry::apply::Stores;
use cranereach_entry::entry::Entry;
use cranereach_entry::entry::StartError;
use cranereach_entry::settings::InstanceSettings;
use cranereach_entry::settings::ListenSettings;
use cranereach_entry::settings::LogLevel;
use cranereach_entry::settings::LogSettings;
use cranereach_entry::settings::OperatorSettings;
use cranereach_entry::settings::PeerSettings;
use cranereach_entry::settings::PlatformSettings;
use cranereach_entry::settings::PolicySettings;
use cranereach_entry::settings::Settings;
use cranereach_entry::settings::WeightStoreSettings;
use cranereach_standin::engine::Engine;
use cranereach_standin::engine::state::EngineOptions;
use cranereach_standin::load::Call;
use cranereach_standin::load::Outcome;
use cranereach_standin::platform::Platform;
use cranereach_standin::platform::state::WeightLimits;
use cranereach_standin::relay::Relay;
use cranereach_standin::service::PlainService;
use cranereach_wire::folder::Folder;
use cranereach_wire::platform::ListState;
use cranereach_wire::platform::ListedInstance;
use cranereach_wire::platform::Role;

/// Loopback address with a port chosen by the operating system.
const ANY_PORT: &str = "127.0.0.1:0";

/// Error while starting or operating a deployment.
#[derive(Debug, Error)]
pub enum DeployError {
    /// A socket could not be opened.
    #[error("can't open a socket: {0}")]
    Socket(#[from] io::Error),
    /// An entry instance could not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The declarations were not accepted.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// A condition was not met before its timeout.
    #[error(transparent)]
    Timeout(#[from] TimedOut),
}

/// An upstream worker and its entry in the platform's instance list.
#[derive(Debug)]
pub struct Upstream<T> {
    /// Id in the instance list.
    pub id: String,
    /// Pool.
    pub pool: String,
    /// Failure domain.
    pub domain: String,
    /// Address in the instance list.
    pub address: String,
    /// The stand-in.
    pub stand_in: T,
    stop_sender: watch::Sender<bool>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: Platform,
    /// Address of the platform.
    pub platform_address: String,
    /// Model engines.
    pub engines: Vec<Upstream<Engine>>,
    /// Plain services.
    pub services: Vec<Upstream<PlainService>>,
    /// Entry instances; `None` for those that were killed.
    pub entries: Vec<Option<Entry>>,
    /// Policy settings of entry instances that are started from now on.
    pub policy: PolicySettings,
    /// Weight store limits in the settings of the entry instances.
    pub weight_store: WeightStoreSettings,
    callers: Vec<Arc<Caller>>,
    platform_stop_sender: watch::Sender<bool>,
}

impl Deployment {
    /// Starts the platform, without any upstream or entry instance.
    pub async fn start(limits: WeightLimits) -> Result<Self, DeployError> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let platform_address = listener.local_addr()?.to_string();
        let (platform_stop_sender, stop) = watch::channel(false);
        let platform = Platform::start(listener, limits, stop);
        let weight_store = WeightStoreSettings {
            loads_per_s: limits.loads_per_s,
            loads_at_once_count: limits.at_once_count,
        };
        Ok(Self {
            platform,
            platform_address,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
            policy: PolicySettings::default(),
            weight_store,
            callers: Vec::new(),
            platform_stop_sender,
        })
    }

    /// Starts an engine, adds it to the instance list and returns its index.
    pub async fn add_engine(
        &mut self,
        pool: &str,
        domain: &str,
        options: EngineOptions,
    ) -> Result<usize, DeployError> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?.to_string();
        let (stop_sender, stop) = watch::channel(false);
        let stand_in = Engine::start(listener, options, stop);
        let id = format!("{pool}-{}", self.engines.len());
        let engine = Upstream {
            id,
            pool: pool.to_owned(),
            domain: domain.to_owned(),
            address,
            stand_in,
            stop_sender,
        };
        self.list_worker(
            &engine.id,
            &engine.pool,
            &engine.domain,
            &engine.address,
            ListState::Live,
        );
        self.engines.push(engine);
        Ok(self.engines.len() - 1)
    }

    /// Starts a plain service, adds it to the instance list and returns its index.
    pub async fn add_service(&mut self, pool: &str, domain: &str) -> Result<usize, DeployError> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?.to_string();
        let (stop_sender, stop) = watch::channel(false);
        let stand_in = PlainService::start(listener, stop);
        let id = format!("{pool}-{}", self.services.len());
        let service = Upstream {
            id,
            pool: pool.to_owned(),
            domain: domain.to_owned(),
            address,
            stand_in,
            stop_sender,
        };
        self.list_worker(
            &service.id,
            &service.pool,
            &service.domain,
            &service.address,
            ListState::Live,
        );
        self.services.push(service);
        Ok(self.services.len() - 1)
    }

    /// Starts an entry instance, adds it to the instance list and returns its index.
    pub async fn add_entry(&mut self, domain: &str) -> Result<usize, DeployError> {
        let table = self.platform_address.clone();
        self.add_entry_with(domain, &table, |_settings| {}).await
    }

    /// Starts an entry instance that reaches the platform at the given address.
    ///
    /// `adjust` may modify the settings before the start.
    pub async fn add_entry_with(
        &mut self,
        domain: &str,
        platform: &str,
        adjust: impl FnOnce(&mut Settings),
    ) -> Result<usize, DeployError> {
        let number = self.entries.len();
        let mut settings = self.settings(&format!("entry-{number}"), domain, platform);
        adjust(&mut settings);
        let id = settings.instance.id.clone();
        let entry = Entry::start(settings).await?;
        let addresses = entry.addresses();
        self.list_entry(&id, domain, &addresses.peers.to_string(), ListState::Live);
        self.callers
            .push(Arc::new(Caller::new(&addresses.callers.to_string())));
        self.entries.push(Some(entry));
        Ok(number)
    }

    /// Starts a relay to the platform, for an entry instance; returns it with its address.
    pub fn relay_to_platform(&self) -> Result<(Relay, String), DeployError> {
        let from = (Ipv4Addr::LOCALHOST, 0).into();
        let (relay, address) = Relay::start(from, &self.platform_address)?;
        Ok((relay, address.to_string()))
    }

    /// Returns the platform's stores, as the operators' commands access them.
    pub fn stores(&self) -> Stores {
        Stores::new(&self.platform_address, &self.platform_address)
    }

    /// Applies declarations on top of the current version; returns the new version.
    pub async fn apply(&self, folder: &Folder) -> Result<u64, DeployError> {
        let stores = self.stores();
        let current = stores.current().await?;
        let change_id = format!("{:016x}", rand::random::<u64>());
        let accepted = stores
            .apply(folder, current.head.version, &change_id)
            .await?;
        Ok(accepted.version)
    }

    /// Returns a client of each entry instance, including those that were killed.
    pub fn callers(&self) -> Vec<Arc<Caller>> {
        self.callers.clone()
    }

    /// Sends a call to the entry instance with the given index.
    pub async fn call(&self, entry: usize, call: &Call) -> Outcome {
        self.callers[entry].send(call).await
    }

    /// Repeats a call until it is served or the timeout has passed; returns the last outcome.
    pub async fn call_until_served(&self, entry: usize, call: &Call, timeout_ms: u64) -> Outcome {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        loop {
            let outcome = self.call(entry, call).await;
            if outcome.status == 200 || Instant::now() >= deadline {
                return outcome;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until the given configuration version or a later one is in force on every entry
    /// instance.
    pub async fn wait_for_version(&self, version: u64, timeout_ms: u64) -> Result<(), TimedOut> {
        let is_current = |entry: &Entry| entry.shared().config().held().version >= version;
        let what = format!("version {version} on every entry instance");
        wait_until(&what, timeout_ms, || {
            self.entries.iter().flatten().all(is_current)
        })
        .await
    }

    /// Waits until a target is resident on at least one engine.
    pub async fn wait_for_resident(&self, target: &str, timeout_ms: u64) -> Result<(), TimedOut> {
        let what = format!("{target} to be resident on an engine");
        wait_until(&what, timeout_ms, || {
            self.engines
                .iter()
                .any(|engine| engine.stand_in.state().is_resident(target))
        })
        .await
    }

    /// Stops an entry instance abruptly, as a crash would.
    pub async fn kill_entry(&mut self, index: usize) {
        if let Some(entry) = self.entries[index].take() {
            entry.kill().await;
        }
    }

    /// Stops an engine abruptly, without removing it from the instance list.
    pub fn kill_engine(&mut self, index: usize) {
        self.engines[index].stop_sender.send_replace(true);
    }

    /// Adds or updates a worker in the platform's instance list.
    pub fn list_worker(&self, id: &str, pool: &str, domain: &str, address: &str, state: ListState) {
        self.platform.state().list(ListedInstance {
            id: InstanceId::from(id),
            role: Role::Worker,
            state,
            domain: FailureDomain::from(domain),
            address: address.to_owned(),
            pool: Some(PoolName::from(pool)),
        });
    }

    /// Adds or updates an entry instance in the platform's instance list.
    pub fn list_entry(&self, id: &InstanceId, domain: &str, address: &str, state: ListState) {
        self.platform.state().list(ListedInstance {
            id: id.clone(),
            role: Role::Entry,
            state,
            domain: FailureDomain::from(domain),
            address: address.to_owned(),
            pool: None,
        });
    }

    /// Stops all components.
    pub async fn stop(mut self) {
        for entry in self.entries.drain(..).flatten() {
            entry.kill().await;
        }
        for engine in &self.engines {
            engine.stop_sender.send_replace(true);
        }
        for service in &self.services {
            service.stop_sender.send_replace(true);
        }
        self.platform_stop_sender.send_replace(true);
    }

    /// Returns the settings of an entry instance, with shorter intervals than the defaults.
    fn settings(&self, id: &str, domain: &str, platform: &str) -> Settings {
        Settings {
            instance: InstanceSettings {
                id: InstanceId::from(id),
                failure_domain: FailureDomain::from(domain),
            },
            listen: ListenSettings::default(),
            platform: PlatformSettings {
                table: platform.to_owned(),
                objects: platform.to_owned(),
                instances: platform.to_owned(),
                head_every_ms: 1_000,
                list_every_ms: 300,
            },
            peers: PeerSettings {
                secret: Some("loopback".to_owned()),
                secret_file: None,
                digest_every_ms: 100,
            },
            operators: OperatorSettings {
                token: Some("operator".to_owned()),
                token_file: None,
            },
            limits: cranereach_entry::settings::LimitSettings::default(),
            policy: self.policy.clone(),
            weight_store: self.weight_store,
            drain: cranereach_entry::settings::DrainSettings::default(),
            log: LogSettings {
                level: LogLevel::Off,
            },
        }
    }
}
