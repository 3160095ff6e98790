//! The 90th percentile of the run times of one class, as a streaming estimate with bounded state.
//!
//! Runs are taken in blocks. Each block gives its own percentile, and the estimate is the median over the last blocks. A
//! run that takes seven times as long as usual therefore counts as one long run, whatever its length, and a burst of
//! slow answers as long as a block leaves the estimate among the usual blocks. A change that lasts is the new estimate
//! after three blocks.

/// Runs of a block: the least number whose 90th percentile (the 18th of 20) isn't its longest run. Of 20 runs, 3% of
/// which are stragglers, three or more are stragglers in 2 of 100 blocks.
const BLOCK_RUNS: usize = 20;
/// Blocks whose median is the estimate.
const BLOCKS: usize = 5;
/// Place of the 90th percentile in a sorted block.
const P90_PLACE: usize = BLOCK_RUNS * 9 / 10 - 1;

/// Run times of one class.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    /// Runs of the block that is not full, in microseconds.
    open: Vec<u64>,
    /// Percentiles of the last blocks, in microseconds.
    blocks: Vec<u64>,
    /// The block that is replaced next.
    oldest: usize,
}

impl RunTimes {
    /// Takes in a run.
    pub fn record(&mut self, us: u64) {
        self.open.push(us);
        if self.open.len() < BLOCK_RUNS {
            return;
        }
        self.open.sort_unstable();
        let p90_us = self.open[P90_PLACE];
        self.open.clear();
        if self.blocks.len() < BLOCKS {
            self.blocks.push(p90_us);
        } else {
            self.blocks[self.oldest] = p90_us;
            self.oldest = (self.oldest + 1) % BLOCKS;
        }
    }

    /// The 90th percentile, in microseconds; none before the first block is full.
    pub fn p90_us(&self) -> Option<u64> {
        let mut blocks = self.blocks.clone();
        blocks.sort_unstable();
        blocks.get(blocks.len().saturating_sub(1) / 2).copied()
    }
}
