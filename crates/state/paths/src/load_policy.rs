//! Which of two policies decides on requests when engines are full.

use std::str::FromStr;

/// The number of organisations in the routes from which [`LoadPolicy::Admission`] is in force:
/// deployments that were served before it existed have 10.
pub const MIN_CONTENDED_ORGANISATIONS: usize = 16;

/// `LoadPolicy` selects how requests are admitted and placed when engines are full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadPolicy {
    /// The decisions for few organisations.
    #[default]
    Standard,
    /// Admission for many organisations that compete for scarce capacity.
    Admission,
    /// The same, and the choice of paths, the reserve and the order of reroutes for uneven demand.
    Contended,
}

/// `LoadPolicySwitch` is the operators' choice of a policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadPolicySwitch {
    /// The number of organisations in the routes decides.
    #[default]
    Auto,
    /// This policy is in force whatever the routes name.
    Always(LoadPolicy),
}

/// A value that names no policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownLoadPolicy;

impl LoadPolicySwitch {
    /// Returns the policy in force for routes that name this number of organisations.
    pub const fn policy(self, organisations: usize) -> LoadPolicy {
        match self {
            Self::Always(policy) => policy,
            Self::Auto if organisations >= MIN_CONTENDED_ORGANISATIONS => LoadPolicy::Admission,
            Self::Auto => LoadPolicy::Standard,
        }
    }
}

impl FromStr for LoadPolicySwitch {
    type Err = UnknownLoadPolicy;

    /// Reads `auto`, `standard`, `admission` or `contended`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "" | "auto" => Ok(Self::Auto),
            "standard" => Ok(Self::Always(LoadPolicy::Standard)),
            "admission" => Ok(Self::Always(LoadPolicy::Admission)),
            "contended" => Ok(Self::Always(LoadPolicy::Contended)),
            _ => Err(UnknownLoadPolicy),
        }
    }
}

impl LoadPolicy {
    /// Whether waiting requests are ordered and refused by [`crate::admission`].
    pub const fn has_admission(self) -> bool {
        match self {
            Self::Standard => false,
            Self::Admission | Self::Contended => true,
        }
    }

    /// Returns the name, as the environment variable and log lines have it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Standard => "standard",
            Self::Admission => "admission",
            Self::Contended => "contended",
        }
    }
}
