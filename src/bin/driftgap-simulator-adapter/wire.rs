//! Frames and records of the simulator's wire: decoding events, encoding actions. It does not decide.

use driftgap::decision::{
    Action, AttemptEnd, EndpointEntry, EndpointState, Event, ListKind, Outcome, Request,
};

/// An event as the wire addresses it: to one endpoint.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// A fresh endpoint with its seed and its settings (JSON text).
    Born { who: u16, seed: u64, setup: String },
    /// An endpoint was killed.
    Kill { who: u16 },
    /// A record that the module has no use for.
    Skip,
    /// An event for an endpoint's module.
    For { who: u16, event: Event },
}

/// A reader over the bytes of one frame; errors name the record and the byte.
pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    what: &'static str,
}

type Res<T> = Result<T, String>;

impl<'a> Reader<'a> {
    /// Reads `bytes`, the clock or the records of a frame.
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader {
            bytes,
            at: 0,
            what: "header",
        }
    }

    fn take(&mut self, n: usize) -> Res<&'a [u8]> {
        let left = self.bytes.len() - self.at;
        if n > left {
            return Err(format!(
                "{} at byte {}: {n} more bytes wanted, {left} left",
                self.what, self.at
            ));
        }
        self.at += n;
        Ok(&self.bytes[self.at - n..self.at])
    }

    fn array<const N: usize>(&mut self) -> Res<[u8; N]> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Res<u8> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Res<u16> {
        Ok(u16::from_be_bytes(self.array()?))
    }
    fn u32(&mut self) -> Res<u32> {
        Ok(u32::from_be_bytes(self.array()?))
    }
    fn u64(&mut self) -> Res<u64> {
        Ok(u64::from_be_bytes(self.array()?))
    }
    fn f32(&mut self) -> Res<f64> {
        Ok(f64::from(f32::from_be_bytes(self.array()?)))
    }
    /// A time in seconds.
    pub fn f64(&mut self) -> Res<f64> {
        Ok(f64::from_be_bytes(self.array()?))
    }

    fn stats(&mut self) -> Res<Vec<f64>> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn outcome(&mut self) -> Res<Outcome> {
        let code = self.u8()?;
        Ok(match code {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::Timeout,
            50 => Outcome::ConnectFailed,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
            _ => {
                return Err(format!(
                    "{} at byte {}: unknown outcome {code}",
                    self.what,
                    self.at - 1
                ))
            }
        })
    }

    fn entry(&mut self) -> Res<EndpointEntry> {
        let (endpoint, zone) = (self.u32()?, u32::from(self.u8()?));
        let (_kind, cell) = (self.u16()?, u32::from(self.u16()?));
        let state = match self.u8()? {
            0 => EndpointState::Ready,
            1 => EndpointState::Gone,
            2 => EndpointState::Draining,
            other => {
                return Err(format!(
                    "Entry at byte {}: unknown state {other}",
                    self.at - 1
                ))
            }
        };
        Ok(EndpointEntry {
            id: endpoint,
            zone,
            cell,
            state,
            weight: self.f32()?,
            started: self.f64()?,
            pools: driftgap::decision::ALL_ENDPOINTS,
        })
    }

    /// The next record, or none at the end of the frame.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub fn record(&mut self) -> Res<Option<Record>> {
        if self.at == self.bytes.len() {
            return Ok(None);
        }
        let start = self.at;
        self.what = "record";
        let code = self.u8()?;
        self.what = match code {
            1 => "Born",
            2 => "Targets",
            3 => "Query",
            4 => "First",
            5 => "Response",
            6 => "Aborted",
            7 => "Bell",
            8 => "Echo",
            9 => "Inbox",
            10 => "Kill",
            11 => "CounterReply",
            _ => return Err(format!("record at byte {start}: unknown event code {code}")),
        };
        let who = self.u16()?;
        let event = match code {
            1 => {
                let (seed, n) = (self.u64()?, self.u32()?);
                let text = self.take(n as usize)?.to_vec();
                let setup = String::from_utf8(text)
                    .map_err(|_| format!("Born at byte {start}: setup is not text"))?;
                return Ok(Some(Record::Born { who, seed, setup }));
            }
            2 => {
                let kind = match self.u8()? {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => {
                        return Err(format!(
                            "Targets at byte {}: unknown kind {other}",
                            self.at - 1
                        ))
                    }
                };
                let (_version, n) = (self.u32()?, self.u32()?);
                let entries = (0..n).map(|_| self.entry()).collect::<Res<Vec<_>>>()?;
                Event::EndpointList { kind, entries }
            }
            3 => {
                let (id, give_up) = (self.u32()?, self.f64()?);
                let spread = self.f32()?.clamp(1.0, 65_535.0) as u32;
                let (class, plan) = (usize::from(self.u8()?), usize::from(self.u16()?));
                let first = self.f32()?.clamp(0.0, 65_535.0) as u32;
                let (tenant, units, bits) = (self.u64()?, self.f32()?, self.u8()?);
                let repeat = bits & 2 != 0;
                Event::RequestArrived(Request {
                    id,
                    give_up,
                    class,
                    plan,
                    tenant,
                    units,
                    spread,
                    first,
                    repeat,
                    pools: driftgap::decision::ALL_ENDPOINTS,
                })
            }
            4 => {
                let (id, attempt) = (self.u32()?, u32::from(self.u16()?));
                let (_endpoint, _took) = (self.u32()?, self.f64()?);
                Event::StreamStarted { id, attempt }
            }
            5 => {
                let (id, attempt, _endpoint) = (self.u32()?, u32::from(self.u16()?), self.u32()?);
                let (outcome, _took, finished) = (self.outcome()?, self.f64()?, self.u8()? != 0);
                let (_used, units) = (self.u16()?, self.u16()?);
                let settled = (units > 0).then_some(f64::from(units));
                let report = self.stats()?;
                Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    outcome,
                    request_finished: finished,
                    settled_units: settled,
                    report,
                })
            }
            6 => Event::ClientGone { id: self.u32()? },
            7 => Event::Timer { token: self.u64()? },
            8 => {
                let (endpoint, outcome, _took) = (self.u32()?, self.outcome()?, self.f64()?);
                Event::ProbeEnded {
                    endpoint,
                    outcome,
                    report: self.stats()?,
                }
            }
            9 => {
                let (_from, n) = (self.u32()?, self.u16()?);
                self.take(usize::from(n))?;
                return Ok(Some(Record::Skip));
            }
            10 => return Ok(Some(Record::Kill { who })),
            _ => {
                let (name, outcome, total) = (self.u64()?, self.outcome()?, self.f32()?);
                let _took = self.f64()?;
                Event::CounterAnswered {
                    name,
                    outcome,
                    total,
                }
            }
        };
        Ok(Some(Record::For { who, event }))
    }
}

/// Appends one action of endpoint `who` to a reply.
pub fn encode(who: u16, action: &Action, out: &mut Vec<u8>) {
    fn head(out: &mut Vec<u8>, code: u8, who: u16) {
        out.push(code);
        out.extend(who.to_be_bytes());
    }
    match *action {
        Action::Send {
            id,
            endpoint,
            timeout,
        } => {
            head(out, 1, who);
            out.extend(id.to_be_bytes());
            out.extend(endpoint.to_be_bytes());
            out.extend(timeout.to_be_bytes());
        }
        Action::Reject { id, retry_after } => {
            head(out, 2, who);
            out.extend(id.to_be_bytes());
            out.extend(retry_after.to_be_bytes());
        }
        Action::Fail { id } => {
            head(out, 3, who);
            out.extend(id.to_be_bytes());
        }
        Action::Cancel { id, attempt } => {
            head(out, 4, who);
            out.extend(id.to_be_bytes());
            out.extend((attempt as u16).to_be_bytes());
        }
        Action::Timer { after, token } => {
            head(out, 5, who);
            out.extend(after.to_be_bytes());
            out.extend(token.to_be_bytes());
        }
        Action::Probe { endpoint } => {
            head(out, 6, who);
            out.extend(endpoint.to_be_bytes());
        }
        Action::FollowEndpointList => {
            head(out, 11, who);
            out.push(1);
        }
        Action::AddToCounter {
            name,
            amount,
            lives,
        } => {
            head(out, 13, who);
            out.extend(name.to_be_bytes());
            out.extend((amount as f32).to_be_bytes());
            out.extend(lives.to_be_bytes());
        }
    }
}
