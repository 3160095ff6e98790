//! Second attempts beside straggling ones: when they are made, which of two answers counts, and what they cost.

mod conditions;
mod outcomes;
mod shortage;
mod site;
mod walks;
