//! What a node does when services are short of capacity.

use sections::Reader;
use std::str::FromStr;

/// When a function is enabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Never.
    #[default]
    Off,
    /// While client accounts are declared, or callers of this node pipeline their requests.
    Auto,
    /// Always.
    On,
}

impl FromStr for Mode {
    type Err = ();
    fn from_str(text: &str) -> Result<Mode, ()> {
        match text {
            "off" => Ok(Mode::Off),
            "auto" => Ok(Mode::Auto),
            "on" => Ok(Mode::On),
            _ => Err(()),
        }
    }
}

const MODES: &str = "off, auto or on";

/// How the slots of a service are assigned when they are scarce.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Admission {
    /// Whether the objective of a request is measured from its caller's first try.
    pub from_first_try: Mode,
    /// Whether slots are shared fairly among client accounts.
    pub fair_accounts: bool,
}

/// Hedged attempts of requests that run for much longer than is typical.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hedging {
    /// When they are made.
    pub mode: Mode,
}

pub(crate) fn read_admission(reader: &mut Reader) -> Admission {
    let allowed = "true or false";
    Admission {
        from_first_try: reader.value_or("admission", "from_first_try", MODES, Mode::Off),
        fair_accounts: reader.value_or("admission", "fair_accounts", allowed, false),
    }
}

pub(crate) fn read_hedging(reader: &mut Reader) -> Hedging {
    Hedging {
        mode: reader.value_or("hedging", "mode", MODES, Mode::Off),
    }
}
