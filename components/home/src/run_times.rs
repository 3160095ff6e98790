//! The 90th percentile of the run times of one class, as a streaming estimate with bounded state.
//!
//! Runs are grouped into blocks. Each block has its own percentile, and the estimate is the median
//! over the last blocks. A run that takes seven times the typical time therefore counts as one long
//! run, whatever its length, and a burst of slow answers as long as one block doesn't move the
//! estimate out of the range of the other blocks. A lasting change becomes the new estimate after
//! three blocks.

/// Runs in a block: with 20, the 90th percentile (the 18th) is not the longest run. If 3% of runs
/// are stragglers, 2% of the blocks have three or more of them.
const BLOCK_RUNS: usize = 20;
/// Number of blocks whose median is the estimate.
const BLOCKS: usize = 5;
/// Index of the 90th percentile in a sorted block.
const P90_INDEX: usize = BLOCK_RUNS * 9 / 10 - 1;

/// Run times of one class.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    /// Run times of the incomplete block, in microseconds.
    incomplete: Vec<u64>,
    /// 90th percentiles of the last blocks, in microseconds.
    blocks: Vec<u64>,
    /// Index of the block that is replaced next.
    oldest: usize,
}

impl RunTimes {
    /// Records the duration of a run, in microseconds.
    pub fn record(&mut self, us: u64) {
        self.incomplete.push(us);
        if self.incomplete.len() < BLOCK_RUNS {
            return;
        }
        self.incomplete.sort_unstable();
        let p90_us = self.incomplete[P90_INDEX];
        self.incomplete.clear();
        if self.blocks.len() < BLOCKS {
            self.blocks.push(p90_us);
        } else {
            self.blocks[self.oldest] = p90_us;
            self.oldest = (self.oldest + 1) % BLOCKS;
        }
    }

    /// The estimated 90th percentile, in microseconds; none before the first block is full.
    pub fn p90_us(&self) -> Option<u64> {
        let mut blocks = self.blocks.clone();
        blocks.sort_unstable();
        blocks.get(blocks.len().saturating_sub(1) / 2).copied()
    }
}
