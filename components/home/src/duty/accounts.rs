//! What accounts have at this home duty.

use super::Home;
use crate::config::AccountLoad;
use names::Name;

impl<A: Clone> Home<A> {
    /// How many attempts of the account run and wait; without one, those that have none.
    pub fn account_load(&self, account: &Option<Name>) -> AccountLoad {
        AccountLoad {
            running: self.queue.held().of(account),
            queued: self.queue.waiting().of(account),
        }
    }

    /// Number of accounts with attempts that wait.
    pub fn accounts_waiting(&self) -> usize {
        self.queue.waiting().accounts()
    }

    /// Number of turns of accounts that are kept, at most one for each attempt that runs or waits.
    pub fn turns_kept(&self) -> usize {
        self.queue.lines()
    }
}
