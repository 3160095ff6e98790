//! Attempts and scheduling state of client accounts at this home duty.

use super::Home;
use crate::config::AccountLoad;
use crate::record::{Record, RecordLookup};
use names::{AttemptId, Name};

impl<A: Clone> Home<A> {
    /// Numbers of running and queued attempts of the account; for `None`, of attempts without an account.
    pub fn account_load(&self, account: &Option<Name>) -> AccountLoad {
        AccountLoad {
            running: self.queue.running().of(account),
            queued: self.queue.queued().of(account),
        }
    }

    /// Whether a record says that the attempt was refused in a full queue in favour of another account's
    /// attempt of the same rank.
    pub fn is_displaced(&self, id: AttemptId) -> bool {
        matches!(
            self.records.look_up(id),
            RecordLookup::Ended(Record::Displaced)
        )
    }

    /// Number of accounts with queued attempts.
    pub fn accounts_waiting(&self) -> usize {
        self.queue.queued().accounts()
    }

    /// Number of accounts whose tags are kept: those with queued attempts, and those whose finish tag is
    /// ahead of the virtual time.
    pub fn accounts_tracked(&self) -> usize {
        self.queue.flows()
    }

    /// The virtual time of fair queueing, in microseconds: the maximum over ranks and levels.
    pub fn virtual_time_us(&self) -> u64 {
        self.queue.virtual_time_us()
    }
}
