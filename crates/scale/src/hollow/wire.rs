//! Links in memory: what is sent arrives later, in order, and is counted.

use oorandom::Rand64;

/// What went over one end of a link, or over several together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames.
    pub messages: u64,
    /// Bytes of those, heads included; what TCP and IP add is not in it.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one frame of so many bytes.
    pub fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// What came in after an earlier reading.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// Delays of links between machines, and the rate at which one machine's interface sends.
#[derive(Clone, Debug)]
pub struct Wire {
    /// Shortest and longest delay of a frame, ms.
    pub delay_ms: (f64, f64),
    /// Bytes that a machine sends in a millisecond.
    pub bytes_per_ms: f64,
    random: Rand64,
}

impl Wire {
    /// One millisecond on a network of one zone to the next, at 1 Gbit/s a machine.
    pub fn new(seed: u64) -> Wire {
        Wire {
            delay_ms: (0.2, 2.0),
            bytes_per_ms: 125_000.0,
            random: Rand64::new(seed.into()),
        }
    }

    /// A number from 0 up to 1, from the wire's own source.
    pub fn chance(&mut self) -> f64 {
        self.random.rand_float()
    }

    /// A delay between two ends, ms.
    pub fn delay(&mut self) -> f64 {
        let (min, max) = self.delay_ms;
        min + self.chance() * (max - min)
    }

    /// How long a machine's interface is busy with so many bytes, ms.
    pub fn busy_ms(&self, bytes: usize) -> f64 {
        bytes as f64 / self.bytes_per_ms
    }
}
