//! What accounts have at this home duty.

use super::Home;
use crate::config::AccountLoad;
use crate::record::{Record, RecordLookup};
use names::{AttemptId, Name};

impl<A: Clone> Home<A> {
    /// How many attempts of the account run and wait; without one, those that have none.
    pub fn account_load(&self, account: &Option<Name>) -> AccountLoad {
        AccountLoad {
            running: self.queue.held().of(account),
            queued: self.queue.waiting().of(account),
        }
    }

    /// Whether the attempt was refused in a full queue for one of another account of its rank, as far as that is on record.
    pub fn is_displaced(&self, id: AttemptId) -> bool {
        matches!(
            self.records.look_up(id),
            RecordLookup::Ended(Record::Displaced)
        )
    }

    /// Number of accounts with attempts that wait.
    pub fn accounts_waiting(&self) -> usize {
        self.queue.waiting().accounts()
    }

    /// Number of accounts whose tags are kept: those with attempts that wait, and those whose finish tag is ahead of the
    /// virtual time.
    pub fn accounts_tracked(&self) -> usize {
        self.queue.flows()
    }

    /// The virtual time of the fair order, in microseconds: the largest over ranks and levels.
    pub fn virtual_time_us(&self) -> u64 {
        self.queue.virtual_time_us()
    }
}
