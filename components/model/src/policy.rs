//! Named policies: product settings under which a load is simulated.

use settings::{Admission, Hedging, Mode};

/// Behaviour of nodes when a service is short of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Name on the command line.
    pub name: &'static str,
    /// Admission settings.
    pub admission: Admission,
    /// Hedging settings.
    pub hedging: Hedging,
}

/// The defaults of the settings: all functions off.
const BASELINE: Policy = Policy {
    name: "baseline",
    admission: Admission {
        from_first_try: Mode::Off,
        fair_accounts: false,
    },
    hedging: Hedging { mode: Mode::Off },
};

/// All policies. A policy that is a setting of the product has its entry here.
const POLICIES: &[Policy] = &[
    BASELINE,
    Policy {
        name: "from-first-try",
        admission: Admission {
            from_first_try: Mode::On,
            ..BASELINE.admission
        },
        ..BASELINE
    },
];

/// No policy has this name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("policy {0:?}: must be one of {known}", known = Policy::names())]
pub struct UnknownPolicy(pub String);

impl Policy {
    pub fn by_name(name: &str) -> Result<Policy, UnknownPolicy> {
        let found = POLICIES.iter().find(|policy| policy.name == name);
        found.copied().ok_or_else(|| UnknownPolicy(name.into()))
    }

    /// Names of all policies, for messages.
    pub fn names() -> String {
        let names: Vec<&str> = POLICIES.iter().map(|policy| policy.name).collect();
        names.join(", ")
    }

    /// Whether objectives count from a caller's first try.
    pub(crate) fn counts_from_first_try(&self) -> bool {
        self.admission.from_first_try != Mode::Off
    }

    /// Whether stragglers are reported to the offering node.
    pub(crate) fn hedges(&self) -> bool {
        self.hedging.mode != Mode::Off
    }
}

impl Default for Policy {
    fn default() -> Policy {
        BASELINE
    }
}
