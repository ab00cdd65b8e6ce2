//! The network between hollow nodes: counts of the traffic, delays of links and the send rate of
//! interfaces.

use oorandom::Rand64;

/// Traffic at one end of a link, or at several ends together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of frames.
    pub messages: u64,
    /// Bytes of the frames with their headers, without those of TCP and IP.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one frame of `bytes` bytes.
    pub fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    /// Returns the traffic since an earlier reading.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            messages: self.messages - earlier.messages,
            bytes: self.bytes - earlier.bytes,
        }
    }
}

/// Random delays of links between machines, and the send rate of a machine's interface.
#[derive(Clone, Debug)]
pub struct Network {
    /// Shortest and longest delay of a frame, ms.
    pub delay_ms: (f64, f64),
    /// Bytes that a machine's interface sends per millisecond.
    pub bytes_per_ms: f64,
    random: Rand64,
}

impl Network {
    /// Creates a network with delays of about 1 ms, as between zones, and 1 Gbit/s per machine.
    pub fn new(seed: u64) -> Network {
        Network {
            delay_ms: (0.2, 2.0),
            bytes_per_ms: 125_000.0,
            random: Rand64::new(seed.into()),
        }
    }

    /// Returns a random number in [0, 1).
    pub fn random_fraction(&mut self) -> f64 {
        self.random.rand_float()
    }

    /// Returns a random delay of a frame on a link, ms.
    pub fn delay(&mut self) -> f64 {
        let (min, max) = self.delay_ms;
        min + self.random_fraction() * (max - min)
    }

    /// Returns the time that a machine's interface needs to send `bytes` bytes, ms.
    pub fn transmission_ms(&self, bytes: usize) -> f64 {
        bytes as f64 / self.bytes_per_ms
    }
}
