//! Quantiles of the run times of one class, as a streaming estimate with bounded state.
//!
//! Runs are taken in blocks. Each block gives its own quantiles, and the estimate is the median over the last blocks. A
//! run that takes seven times as long as usual therefore counts as one long run, whatever its length, and a burst of
//! slow answers as long as a block leaves the estimate among the usual blocks. A change that lasts is the new estimate
//! after three blocks.

/// Runs of a block: the least number whose 90th percentile (the 18th of 20) isn't its longest run. Of 20 runs, 3% of
/// which are stragglers, three or more are stragglers in 2 of 100 blocks.
const BLOCK_RUNS: usize = 20;
/// Blocks whose median is the estimate.
const BLOCKS: usize = 5;
/// Place of the 90th percentile in a sorted block, and of the median.
const P90_PLACE: usize = BLOCK_RUNS * 9 / 10 - 1;
const P50_PLACE: usize = BLOCK_RUNS / 2 - 1;

/// Quantiles of a block of runs, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Block {
    p50_us: u64,
    p90_us: u64,
}

/// Run times of one class.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    open: Vec<u64>,
    blocks: Vec<Block>,
    /// The block that is replaced next.
    oldest: usize,
}

impl RunTimes {
    /// Takes in a run.
    pub fn ran(&mut self, us: u64) {
        self.open.push(us);
        if self.open.len() < BLOCK_RUNS {
            return;
        }
        self.open.sort_unstable();
        let block = Block {
            p50_us: self.open[P50_PLACE],
            p90_us: self.open[P90_PLACE],
        };
        self.open.clear();
        if self.blocks.len() < BLOCKS {
            self.blocks.push(block);
        } else {
            self.blocks[self.oldest] = block;
            self.oldest = (self.oldest + 1) % BLOCKS;
        }
    }

    /// The 90th percentile, in microseconds; none before the first block is full.
    pub fn p90_us(&self) -> Option<u64> {
        self.median_of(|block| block.p90_us)
    }

    /// The usual run time, in microseconds; none before the first block is full.
    pub fn usual_us(&self) -> Option<u64> {
        self.median_of(|block| block.p50_us)
    }

    fn median_of(&self, quantile: impl Fn(&Block) -> u64) -> Option<u64> {
        let mut of_blocks: Vec<u64> = self.blocks.iter().map(quantile).collect();
        of_blocks.sort_unstable();
        of_blocks
            .get(of_blocks.len().saturating_sub(1) / 2)
            .copied()
    }
}
