//! Policies by name: settings of the product under which a load is played.

use settings::{Admission, Hedging, Mode};

/// What a node does where services are short of capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Its name on the command line.
    pub name: &'static str,
    /// Who gets the slots.
    pub admission: Admission,
    /// Second starts.
    pub hedging: Hedging,
}

/// All functions off, as the settings' defaults.
const BASELINE: Policy = Policy {
    name: "baseline",
    admission: Admission {
        from_first_try: Mode::Off,
        fair_accounts: false,
    },
    hedging: Hedging { mode: Mode::Off },
};

/// Every policy that can be asked for. One that is a setting of the product is an entry here.
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

/// There is no policy of this name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("policy {0:?}: must be one of {known}", known = Policy::names())]
pub struct UnknownPolicy(pub String);

impl Policy {
    /// The policy of this name.
    pub fn named(name: &str) -> Result<Policy, UnknownPolicy> {
        let found = POLICIES.iter().find(|policy| policy.name == name);
        found.copied().ok_or_else(|| UnknownPolicy(name.into()))
    }

    /// The names of all policies, for people.
    pub fn names() -> String {
        let names: Vec<&str> = POLICIES.iter().map(|policy| policy.name).collect();
        names.join(", ")
    }

    /// Whether objectives run from a caller's first try.
    pub(crate) fn counts_from_first_try(&self) -> bool {
        self.admission.from_first_try != Mode::Off
    }

    /// Whether straggling runs are reported to the node that offered them.
    pub(crate) fn hedges(&self) -> bool {
        self.hedging.mode != Mode::Off
    }
}

impl Default for Policy {
    fn default() -> Policy {
        BASELINE
    }
}
