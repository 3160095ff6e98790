//! What a node does where services are short of capacity.

use sections::Reader;
use std::str::FromStr;

/// When a function is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Never.
    #[default]
    Off,
    /// While client accounts are declared, or callers of this node send on before they have their answers.
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

/// Who gets the slots of a service that is short of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Admission {
    /// Whether a request's objective runs from its caller's first try.
    pub from_first_try: Mode,
    /// Whether slots are shared fairly among client accounts.
    pub fair_accounts: bool,
}

/// Second starts of requests whose runs take much longer than usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Hedging {
    /// Whether they are made.
    pub mode: Mode,
}

pub(crate) fn read_admission(reader: &mut Reader) -> Admission {
    let booleans = "true or false";
    Admission {
        from_first_try: reader.value_or("admission", "from_first_try", MODES, Mode::Off),
        fair_accounts: reader.value_or("admission", "fair_accounts", booleans, false),
    }
}

pub(crate) fn read_hedging(reader: &mut Reader) -> Hedging {
    Hedging {
        mode: reader.value_or("hedging", "mode", MODES, Mode::Off),
    }
}
