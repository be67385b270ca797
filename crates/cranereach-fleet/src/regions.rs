//! Regions in which requests of a route or client account may be served.

use std::sync::Arc;

/// Set of regions in which requests of a route or client account may be served.
///
/// ```
/// use cranereach_fleet::regions::AllowedRegions;
///
/// let route = AllowedRegions::only(["north", "south"]);
/// let account = AllowedRegions::only(["south", "west"]);
/// let both = route.common(&account);
/// assert!(both.allows(Some("south")));
/// assert!(!both.allows(Some("north")));
/// assert!(!both.allows(None));
/// assert!(AllowedRegions::Any.allows(None));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// Any region, also an unknown one.
    #[default]
    Any,
    /// Only these regions, sorted by name.
    Only(Arc<[Arc<str>]>),
}

impl AllowedRegions {
    /// Creates a set of the named regions.
    pub fn only<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut names: Vec<Arc<str>> = names.into_iter().map(Arc::from).collect();
        names.sort_unstable();
        names.dedup();
        Self::Only(names.into())
    }

    /// Whether a region is allowed; `None`, an unknown region, is allowed only by
    /// [`AllowedRegions::Any`].
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(names) => {
                region.is_some_and(|region| names.iter().any(|name| name.as_ref() == region))
            }
        }
    }

    /// Returns the regions that both sets allow, such as those of a route and of an account.
    #[must_use]
    pub fn common(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, bound) | (bound, Self::Any) => bound.clone(),
            (Self::Only(names), Self::Only(_)) => {
                let both = names.iter().filter(|name| other.allows(Some(name)));
                Self::Only(both.cloned().collect())
            }
        }
    }
}
