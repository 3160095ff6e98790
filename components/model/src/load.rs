//! Which requests come when.

use names::{Moment, MILLISECOND};

/// A caller's first try, or a second one whose first came before the recording.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// When it reaches its node.
    pub at: Moment,
    /// Index of the VM.
    pub vm: usize,
    /// Index of the class.
    pub class: usize,
    /// Of a second try: time that the caller has left, in microseconds.
    pub left_us: Option<u64>,
}

/// A recorded load.
#[derive(Debug, Clone, Default)]
pub struct Load {
    /// First tries, in the order of their time.
    pub arrivals: Vec<Arrival>,
}

impl Load {
    /// Reads lines of `milliseconds,vm,class` or `milliseconds,vm,class,milliseconds left`; lines that begin with `#` are passed over. Errors name the
    /// line.
    pub fn parse(text: &str) -> Result<Load, String> {
        let mut arrivals = Vec::new();
        for (index, line) in text.lines().enumerate() {
            if line.starts_with('#') || line.is_empty() {
                continue;
            }
            let arrival = arrival(line).ok_or_else(|| format!("line {}: {line:?}", index + 1))?;
            arrivals.push(arrival);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Ok(Load { arrivals })
    }

    /// The same load with a part of its arrivals doubled, evenly over the time.
    pub fn with_more(&self, part: f64) -> Load {
        let is_doubled = |index: usize| {
            let before = (index as f64 * part) as usize;
            ((index + 1) as f64 * part) as usize > before
        };
        let mut arrivals = Vec::new();
        for (index, arrival) in self.arrivals.iter().enumerate() {
            arrivals.push(*arrival);
            if is_doubled(index) {
                arrivals.push(*arrival);
            }
        }
        Load { arrivals }
    }
}

fn arrival(line: &str) -> Option<Arrival> {
    let fields: Option<Vec<u64>> = line.split(',').map(|field| field.parse().ok()).collect();
    let fields = fields.filter(|fields| fields.len() == 3 || fields.len() == 4)?;
    Some(Arrival {
        at: Moment(fields[0] * MILLISECOND),
        vm: fields[1] as usize,
        class: fields[2] as usize,
        left_us: fields.get(3).map(|ms| ms * MILLISECOND),
    })
}
