//! Client accounts: the owner of each API key, with its priority rank and limit.
//!
//! Keys are stored only as hashes. A lookup compares hashes, so its timing reveals nothing
//! about a key, and nothing that is passed on or written down grants access.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use cranereach_core::snapshot::KeyHash;

use crate::key::worker_key;
use crate::regions::AllowedRegions;

/// Largest valid rate, burst or cost in a limit, in units: far beyond what any fleet serves, and
/// small enough that sums stay exact.
const LIMIT_MAX_UNITS: f64 = 1e12;

/// Maximum length of an account's name, in bytes: it is sent in a header with each request.
const NAME_MAX_BYTES: usize = 200;

/// Maximum number of accounts with a metric series of their own; those declared after them
/// share one series.
const SERIES_MAX_COUNT: usize = 64;

/// Name of the series shared by the remaining accounts.
const OVERFLOW_SERIES: &str = "other";

/// Unit in which a limit counts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// The tokens that a request specifies, prompt and answer together; a request without a
    /// token count costs `default_tokens`.
    Tokens {
        /// Tokens charged for a request that specifies none.
        default_tokens: f64,
    },
}

impl LimitUnit {
    /// Returns the cost of the smallest request: one that specifies no tokens.
    pub fn smallest_cost(self) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { default_tokens } => default_tokens.max(1.0),
        }
    }
}

/// Rate limit of one account, shared by all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Steady rate, in units per second.
    pub rate_per_s: f64,
    /// Burst that may be used at once on top of the rate, in units.
    pub burst: f64,
    /// Cost of the smallest request, in units.
    pub smallest_cost: f64,
}

/// One client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, as it is sent to upstreams.
    pub name: Arc<str>,
    /// Hashes of its API keys.
    pub keys: Vec<KeyHash>,
    /// Priority rank of its requests, zero first; none if the route decides.
    pub rank: Option<u8>,
    /// Unit of its limit.
    pub unit: LimitUnit,
    /// Rate limit; none if the account is unlimited.
    pub limit: Option<Limit>,
    /// Regions in which its requests may be served.
    pub regions: AllowedRegions,
}

impl Account {
    /// Returns the key that identifies the account in messages between instances.
    pub fn key(&self) -> u64 {
        worker_key(&self.name)
    }

    /// Returns the cost of a request, in units of the limit.
    ///
    /// `tokens` is the number of tokens that the request specifies, if any.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { default_tokens } => {
                tokens.map_or(default_tokens, |tokens| tokens as f64)
            }
        }
    }
}

/// Why a list of accounts is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AccountError {
    /// The name is empty, too long, or not valid in a header.
    #[error(
        "client account {0:?}: the name must be 1 to 200 printable ASCII characters without spaces"
    )]
    Name(String),
    /// Two accounts have the same name.
    #[error("client account {0:?}: declared twice")]
    NameTwice(String),
    /// An API key is empty.
    #[error("client account {0:?}: an API key is empty")]
    EmptyKey(String),
    /// Another account has the same API key.
    #[error("client account {0:?}: shares an API key with client account {1:?}")]
    SharedKey(String, String),
    /// A number of a limit is out of range.
    #[error("client account {0:?}: a limit is negative or larger than 1e12")]
    Limit(String),
}

/// All client accounts of a configuration.
///
/// ```
/// use std::sync::Arc;
///
/// use cranereach_core::snapshot::KeyHash;
/// use cranereach_fleet::accounts::Account;
/// use cranereach_fleet::accounts::Accounts;
/// use cranereach_fleet::accounts::LimitUnit;
/// use cranereach_fleet::regions::AllowedRegions;
///
/// let account = Account {
///     name: Arc::from("crews"),
///     keys: vec![KeyHash::of("secret")],
///     rank: None,
///     unit: LimitUnit::Requests,
///     limit: None,
///     regions: AllowedRegions::Any,
/// };
/// let accounts = Accounts::new(vec![account]).unwrap();
/// assert_eq!(accounts.by_secret("secret").unwrap().name.as_ref(), "crews");
/// assert!(accounts.by_secret("guess").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    by_key_hash: HashMap<KeyHash, Arc<Account>>,
    by_key: HashMap<u64, Arc<Account>>,
    /// Names of the accounts with a metric series of their own.
    series: HashSet<Arc<str>>,
}

impl Accounts {
    /// Validates the accounts and indexes them.
    pub fn new(accounts: Vec<Account>) -> Result<Self, AccountError> {
        let mut all = Self::default();
        for account in accounts {
            all.add(account)?;
        }
        Ok(all)
    }

    /// Validates and adds one account.
    fn add(&mut self, account: Account) -> Result<(), AccountError> {
        let name = account.name.to_string();
        if !is_valid_name(&name) {
            return Err(AccountError::Name(name));
        }
        if !account.limit.is_none_or(is_valid_limit) || !is_valid_unit(account.unit) {
            return Err(AccountError::Limit(name));
        }
        let account = Arc::new(account);
        for key in &account.keys {
            if *key == KeyHash::of("") {
                return Err(AccountError::EmptyKey(name));
            }
            let previous = self.by_key_hash.insert(*key, Arc::clone(&account));
            let other = previous.filter(|previous| previous.name != account.name);
            if let Some(other) = other {
                return Err(AccountError::SharedKey(name, other.name.to_string()));
            }
        }
        if self.series.len() < SERIES_MAX_COUNT {
            self.series.insert(Arc::clone(&account.name));
        }
        let previous = self.by_key.insert(account.key(), account);
        previous.map_or(Ok(()), |_| Err(AccountError::NameTwice(name)))
    }

    /// Whether any account is declared; if none is, requests need no API key.
    pub fn are_declared(&self) -> bool {
        !self.by_key.is_empty()
    }

    /// Counts the accounts.
    pub fn count(&self) -> usize {
        self.by_key.len()
    }

    /// Finds the account that an API key belongs to.
    pub fn by_secret(&self, secret: &str) -> Option<&Arc<Account>> {
        self.by_key_hash.get(&KeyHash::of(secret))
    }

    /// Finds an account by its key in messages between instances.
    pub fn by_key(&self, key: u64) -> Option<&Arc<Account>> {
        self.by_key.get(&key)
    }

    /// Returns the metric label of an account; the number of labels is bounded.
    pub fn label<'a>(&self, account: &'a Account) -> &'a str {
        if self.series.contains(&account.name) {
            &account.name
        } else {
            OVERFLOW_SERIES
        }
    }
}

/// Whether a text is a valid account name: it is sent as a header value.
fn is_valid_name(name: &str) -> bool {
    let has_valid_length = (1..=NAME_MAX_BYTES).contains(&name.len());
    has_valid_length && name.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Whether the numbers of a limit are in range.
fn is_valid_limit(limit: Limit) -> bool {
    let is_in_range = |amount: f64| (0.0..=LIMIT_MAX_UNITS).contains(&amount);
    is_in_range(limit.rate_per_s) && is_in_range(limit.burst) && is_in_range(limit.smallest_cost)
}

/// Whether the numbers of a unit are in range.
fn is_valid_unit(unit: LimitUnit) -> bool {
    match unit {
        LimitUnit::Requests => true,
        LimitUnit::Tokens { default_tokens } => (0.0..=LIMIT_MAX_UNITS).contains(&default_tokens),
    }
}
