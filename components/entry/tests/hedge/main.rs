//! Hedged attempts for stragglers: when they are made, which of two answers is used, and what they
//! cost.

mod conditions;
mod outcomes;
mod shortage;
mod site;
mod walks;
