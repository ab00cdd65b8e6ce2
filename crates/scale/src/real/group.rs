//! A group of real processes with followers, every link of which goes through a relay.

use super::process::Process;
use super::relay::{Relay, RelayCounts};
use crate::experiment::{Measurement, Unit};
use crate::hollow::Traffic;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const SETTINGS: &str = include_str!("../ingress_settings.json");
const MEMBERS: usize = 3;
/// Ports: clients, operators' calls, links, and the relays before links.
const FRONT_PORT: usize = 7000;
const CALL_PORT: usize = 9000;
const LINK_PORT: usize = 10_000;
const MEMBER_RELAY_PORT: usize = 20_000;
const FOLLOWER_RELAY_PORT: usize = 21_000;
/// A group that is not whole by then will not be.
const START: Duration = Duration::from_secs(40);
/// Between two looks at it.
const LOOK: Duration = Duration::from_millis(100);
/// An operator's call is answered within this.
const CALL: Duration = Duration::from_secs(4);
/// Behind the start: all have their copies.
const SETTLING: Duration = Duration::from_secs(3);

/// Why a group of real processes could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum RealError {
    /// A process, a file or a socket.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The group did not come up.
    #[error("the group is not whole after {START:?}: {0}")]
    NotWhole(String),
    /// The program refused to begin a group.
    #[error("group init: {0}")]
    Init(String),
}

/// What went through all relays up to one moment.
#[derive(Clone, Debug, Default)]
struct Counts {
    /// From one member to another.
    members: BTreeMap<(usize, usize), RelayCounts>,
    /// Between a member and all its followers.
    followers: Vec<RelayCounts>,
    /// Time on the processor of the group's thread, by process.
    cpu: Vec<Duration>,
}

/// Members and followers, each a process; all of them end with this.
pub struct RealGroup {
    program: PathBuf,
    host: String,
    folder: TempDir,
    processes: Vec<Process>,
    member_relays: BTreeMap<(usize, usize), Relay>,
    follower_relays: Vec<Relay>,
}

impl RealGroup {
    /// A group of three members with so many followers, of this build of the program.
    ///
    /// # Errors
    /// It does not come up.
    pub fn start(program: &Path, followers: usize) -> Result<RealGroup, RealError> {
        let process = std::process::id();
        let mut group = RealGroup {
            program: program.into(),
            host: format!("127.{}.{}.9", 10 + process % 200, process / 200 % 250),
            folder: tempfile::tempdir()?,
            processes: Vec::new(),
            member_relays: BTreeMap::new(),
            follower_relays: Vec::new(),
        };
        group.start_relays()?;
        for place in 0..MEMBERS + followers {
            group.write_files(place)?;
        }
        group.begin()?;
        // Followers that come before all members vote would all stay beside the first one.
        for places in [0..MEMBERS, MEMBERS..MEMBERS + followers] {
            for place in places {
                let process = Process::start(&mut group.request(place)?)?;
                group.processes.push(process);
            }
            group.await_whole()?;
        }
        sleep(SETTLING);
        Ok(group)
    }

    fn address(&self, port: usize) -> Result<SocketAddr, RealError> {
        format!("{}:{port}", self.host)
            .parse()
            .map_err(|e| RealError::System(io::Error::other(e)))
    }

    fn start_relays(&mut self) -> Result<(), RealError> {
        for to in 0..MEMBERS {
            let link = self.address(LINK_PORT + to)?;
            let listen = self.address(FOLLOWER_RELAY_PORT + to)?;
            self.follower_relays.push(Relay::start(listen, link)?);
            for from in (0..MEMBERS).filter(|from| *from != to) {
                let listen = self.address(member_relay_port(from, to))?;
                self.member_relays
                    .insert((from, to), Relay::start(listen, link)?);
            }
        }
        Ok(())
    }

    fn home(&self, place: usize) -> PathBuf {
        self.folder.path().join(name(place))
    }

    fn write_files(&self, place: usize) -> Result<(), RealError> {
        let home = self.home(place);
        std::fs::create_dir_all(&home)?;
        let config = format!(
            r#"{{"name":"{}","listen":"{host}:{}","operator":"{host}:{}","settings":{SETTINGS},
                "known":{{"version":1,"full":true,"servers":[]}}}}"#,
            name(place),
            FRONT_PORT + place,
            CALL_PORT + place,
            host = self.host,
        );
        std::fs::write(home.join("config.json"), config)?;
        std::fs::write(home.join("operator.toml"), self.operator_file(place))?;
        Ok(())
    }

    fn operator_file(&self, place: usize) -> String {
        let mut text = String::from("[group]\n");
        if place < MEMBERS {
            // Writing to memory does not fail.
            let _ = writeln!(
                text,
                "listen = \"{}:{}\"\nfolder = \"group\"",
                self.host,
                LINK_PORT + place
            );
        }
        text.push_str("[group.members]\n");
        for member in 0..MEMBERS {
            let port = match place {
                _ if place == member => LINK_PORT + member,
                _ if place < MEMBERS => member_relay_port(place, member),
                _ => FOLLOWER_RELAY_PORT + member,
            };
            let _ = writeln!(text, "{} = \"{}:{port}\"", name(member), self.host);
        }
        text
    }

    /// The program as the ingress of this place.
    fn request(&self, place: usize) -> io::Result<Command> {
        let home = self.home(place);
        let log = std::fs::File::create(home.join("log"))?;
        let mut request = Command::new(&self.program);
        request
            .env("EDGE_CONFIG", home.join("config.json"))
            .env("DRIFTGAP_OPERATOR", home.join("operator.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Ok(request)
    }

    fn begin(&self) -> Result<(), RealError> {
        let output = self
            .request(0)?
            .args(["group", "init"])
            .stderr(Stdio::piped())
            .output()?;
        if output.status.success() {
            return Ok(());
        }
        Err(RealError::Init(
            String::from_utf8_lossy(&output.stderr).trim().into(),
        ))
    }

    /// An operator's call and its answer; empty: there was none.
    fn call(&self, place: usize, text: &str) -> String {
        let asked = || -> Result<String, RealError> {
            let mut stream = TcpStream::connect(self.address(CALL_PORT + place)?)?;
            stream.set_read_timeout(Some(CALL))?;
            stream.write_all(format!("{text}\n").as_bytes())?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        asked().unwrap_or_default()
    }

    /// Whether a process says that it votes beside all others, or follows one of them.
    fn is_up(&self, place: usize) -> Result<(), String> {
        let answer = self.call(place, "GROUP STATUS");
        let votes = answer.matches(":votes").count() == MEMBERS;
        let follows = place >= MEMBERS && answer.contains("role=beside");
        match answer.starts_with("ACK") && (votes || follows) {
            true => Ok(()),
            false => Err(format!("{}: {answer:?}", name(place))),
        }
    }

    fn await_whole(&self) -> Result<(), RealError> {
        let began = Instant::now();
        for place in 0..self.processes.len() {
            while let Err(said) = self.is_up(place) {
                if began.elapsed() > START {
                    return Err(RealError::NotWhole(said));
                }
                sleep(LOOK);
            }
        }
        Ok(())
    }

    fn leader(&self) -> Option<usize> {
        (0..MEMBERS).find(|place| self.call(*place, "GROUP STATUS").contains("role=leader"))
    }

    fn counts(&self) -> Result<Counts, RealError> {
        let cpu: io::Result<Vec<Duration>> =
            self.processes.iter().map(Process::group_cpu).collect();
        Ok(Counts {
            members: self
                .member_relays
                .iter()
                .map(|(link, relay)| (*link, relay.counts()))
                .collect(),
            followers: self.follower_relays.iter().map(Relay::counts).collect(),
            cpu: cpu?,
        })
    }

    /// An idle second of the group, averaged over so much time: quantities named as those of the hollow group.
    ///
    /// # Errors
    /// A process has ended, or nobody leads.
    pub fn idle_second(&self, over: Duration) -> Result<Vec<Measurement>, RealError> {
        let leader = self
            .leader()
            .ok_or_else(|| RealError::NotWhole("nobody leads".into()))?;
        let (began, before) = (Instant::now(), self.counts()?);
        sleep(over);
        let (seconds, after) = (began.elapsed().as_secs_f64(), self.counts()?);
        let since = after.since(&before);
        let followers = self.processes.len() - MEMBERS;
        let busiest = (0..MEMBERS)
            .filter(|member| *member != leader)
            .max_by_key(|member| since.sent_by(*member).bytes)
            .unwrap_or_default();
        let mut results = since.member_second("leader_second", leader, seconds);
        results.extend(since.member_second("member_second", busiest, seconds));
        results.extend(since.follower_second(followers, seconds));
        let resident = |place: usize| self.processes[place].resident().map(|bytes| bytes as f64);
        let all: io::Result<Vec<f64>> = (MEMBERS..self.processes.len()).map(resident).collect();
        results.push(Measurement::timed(
            "leader_resident",
            Unit::Bytes,
            resident(leader)?,
        ));
        results.push(Measurement::timed(
            "follower_resident",
            Unit::Bytes,
            all?.iter().sum::<f64>() / followers as f64,
        ));
        Ok(results)
    }
}

impl Counts {
    fn since(&self, earlier: &Counts) -> Counts {
        let then = |link: &(usize, usize)| earlier.members.get(link).copied().unwrap_or_default();
        let followers = self.followers.iter().zip(&earlier.followers);
        let cpu = self.cpu.iter().zip(&earlier.cpu);
        Counts {
            members: self
                .members
                .iter()
                .map(|(link, counts)| (*link, counts.since(then(link))))
                .collect(),
            followers: followers.map(|(now, then)| now.since(*then)).collect(),
            cpu: cpu.map(|(now, then)| now.saturating_sub(*then)).collect(),
        }
    }

    /// What a member has sent to other members and to its followers.
    fn sent_by(&self, member: usize) -> Traffic {
        let to_members = self
            .members
            .iter()
            .filter(|((from, _), _)| *from == member)
            .map(|(_, counts)| counts.there);
        sum(to_members.chain([self.followers[member].back]))
    }

    fn received_by(&self, member: usize) -> Traffic {
        let from_members = self
            .members
            .iter()
            .filter(|((_, to), _)| *to == member)
            .map(|(_, counts)| counts.there);
        sum(from_members.chain([self.followers[member].there]))
    }

    fn member_second(&self, role: &str, member: usize, seconds: f64) -> Vec<Measurement> {
        second(
            role,
            self.sent_by(member),
            self.received_by(member),
            self.cpu[member],
            seconds,
        )
    }

    /// The mean follower's second.
    fn follower_second(&self, followers: usize, seconds: f64) -> Vec<Measurement> {
        let sent = sum(self.followers.iter().map(|counts| counts.there));
        let received = sum(self.followers.iter().map(|counts| counts.back));
        let cpu = self.cpu[MEMBERS..].iter().sum();
        second(
            "follower_second",
            sent,
            received,
            cpu,
            seconds * followers as f64,
        )
    }
}

fn sum(traffic: impl Iterator<Item = Traffic>) -> Traffic {
    traffic.fold(Traffic::default(), |sum, one| Traffic {
        messages: sum.messages + one.messages,
        bytes: sum.bytes + one.bytes,
    })
}

fn second(
    role: &str,
    sent: Traffic,
    received: Traffic,
    cpu: Duration,
    seconds: f64,
) -> Vec<Measurement> {
    let each = |name: &str, unit, value: f64| {
        Measurement::timed(format!("{role}_{name}"), unit, value / seconds)
    };
    vec![
        each("sent_messages", Unit::Messages, sent.messages as f64),
        each("sent_bytes", Unit::Bytes, sent.bytes as f64),
        each(
            "received_messages",
            Unit::Messages,
            received.messages as f64,
        ),
        each("received_bytes", Unit::Bytes, received.bytes as f64),
        each("cpu", Unit::Microseconds, cpu.as_secs_f64() * 1e6),
    ]
}

fn member_relay_port(from: usize, to: usize) -> usize {
    MEMBER_RELAY_PORT + MEMBERS * from + to
}

fn name(place: usize) -> String {
    match place < MEMBERS {
        true => format!("m{place}"),
        false => format!("f{}", place - MEMBERS),
    }
}
