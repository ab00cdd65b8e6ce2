//! Measurements of the group, which are run by hand. They print figures for commit messages.

use crate::peers::{run, Peers};
use std::time::{Duration, Instant};

#[test]
#[ignore = "measurement, prints figures for commits"]
fn measure_call_latency_and_failover() {
    for members in [3, 5] {
        run(async {
            let mut peers = Peers::new(members, 0).await;
            let all: Vec<String> = (0..members).map(|i| i.to_string()).collect();
            peers.step(&format!("start {}", all.join(" "))).await;
            peers.step(&format!("whole {}", all.join(" "))).await;
            let (mut times, mut failover_ms) = (Vec::new(), Vec::new());
            for turn in 0..400 {
                let began = Instant::now();
                let call = if turn % 2 == 0 {
                    "SUSPEND a"
                } else {
                    "RESTORE a"
                };
                assert!(peers.call(turn % members, call).await.starts_with("ACK"));
                times.push(began.elapsed().as_secs_f64() * 1e3);
            }
            times.sort_by(f64::total_cmp);
            println!(
                "{members} members: acknowledged call p50 {:.1} p99 {:.1} ms",
                times[200], times[396]
            );
            for _ in 0..8 {
                peers.step(&format!("led {}", all.join(" "))).await;
                let leader = peers.status(0, "leader").await.unwrap();
                let leader: usize = leader[1..].parse().unwrap();
                peers.step(&format!("kill {leader}")).await;
                let began = Instant::now();
                let other = (leader + 1) % members;
                while !peers.call(other, "SUSPEND b").await.starts_with("ACK") {}
                failover_ms.push(began.elapsed().as_millis());
                assert!(peers.call(other, "RESTORE b").await.starts_with("ACK"));
                peers.step(&format!("start {leader}")).await;
            }
            failover_ms.sort_unstable();
            println!("{members} members: next acknowledged call after a kill {failover_ms:?} ms");
        });
    }
}

/// Measures requests at process `i` for a number of seconds: their count, processor time of each in
/// us, p50 and p99 in ms.
async fn measure_requests(
    peers: &Peers,
    i: usize,
    seconds: u64,
    mut each_second: impl AsyncFnMut(u64),
) -> String {
    let times = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let clients: Vec<_> = (0..8)
        .map(|_| peers.send_timed_requests(i, times.clone()).1)
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    times.borrow_mut().clear();
    let (cpu_time, began) = (peers.cpu_time(i), Instant::now());
    for second in 0..seconds {
        let due = Duration::from_secs(second + 1);
        each_second(second).await;
        tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
    }
    let cpu_time = peers.cpu_time(i) - cpu_time;
    clients.iter().for_each(|client| client.abort());
    let mut times = times.borrow().clone();
    times.sort_by(f64::total_cmp);
    let quantile = |share: f64| times[(times.len() as f64 * share) as usize];
    let cpu_us = cpu_time.as_secs_f64() * 1e6 / times.len() as f64;
    format!(
        "{} requests, {cpu_us:.0} us each, p50 {:.2} p99 {:.2} ms",
        times.len(),
        quantile(0.5),
        quantile(0.99)
    )
}

/// Measures requests at a process without a group and at members of groups with and without calls.
/// `DRIFTGAP_PROGRAM` names the build to measure.
#[test]
#[ignore = "measurement, prints figures for commits"]
fn measure_requests_at_members() {
    for turn in 0..2 {
        run(async {
            let mut peers = Peers::new(3, 0).await;
            peers.leave_out_group_section(0);
            peers.step("start 0").await;
            peers.step("answers 0 ready : STATUS").await;
            println!(
                "{turn} off: {}",
                measure_requests(&peers, 0, 10, async |_| {}).await
            );
        });
        for size in [3, 5] {
            run(async {
                let mut peers = Peers::new(size, 0).await;
                let all: Vec<String> = (0..size).map(|i| i.to_string()).collect();
                peers.step(&format!("start {}", all.join(" "))).await;
                peers.step(&format!("whole {}", all.join(" "))).await;
                println!(
                    "{turn} on, {size} members: {}",
                    measure_requests(&peers, 0, 10, async |_| {}).await
                );
                let calls = measure_requests(&peers, 0, 10, async |_| {
                    for _ in 0..20 {
                        let answers = [
                            peers.call(1, "SUSPEND zz").await,
                            peers.call(2, "RESTORE zz").await,
                        ];
                        assert!(
                            answers.iter().all(|a| a.starts_with("NAK zz was never")),
                            "{answers:?}"
                        );
                        peers.call(1, "SUSPEND d").await;
                        peers.call(2, "RESTORE d").await;
                    }
                });
                println!(
                    "{turn} on, {size} members, 40 calls a second: {}",
                    calls.await
                );
                for i in 1..=size / 2 {
                    peers.step(&format!("split {i}")).await;
                }
                println!(
                    "{turn} {} cut off: {}",
                    size / 2,
                    measure_requests(&peers, 0, 10, async |_| {}).await
                );
                peers.step(&format!("split {}", size - 1)).await;
                println!(
                    "{turn} majority lost: {}",
                    measure_requests(&peers, 0, 10, async |_| {}).await
                );
            });
        }
    }
}

/// The numbers of followers to measure, from `DRIFTGAP_FOLLOWERS`.
fn numbers_of_followers() -> Vec<usize> {
    let numbers = std::env::var("DRIFTGAP_FOLLOWERS").unwrap_or("3,30,300".into());
    numbers.split(',').filter_map(|n| n.parse().ok()).collect()
}

#[test]
#[ignore = "measurement, prints figures for commits"]
fn measure_followers_partitions_and_an_absent_member() {
    for followers in numbers_of_followers() {
        run(async {
            let mut peers = start_with_followers(followers).await;
            print_idle_costs(&peers, followers).await;
            print_propagation_time(&mut peers, followers).await;
        });
    }
    for size in [3, 5] {
        run(async {
            let mut peers = Peers::new(size, 0).await;
            peers.step(&format!("start {}", members(size))).await;
            peers.step(&format!("whole {}", members(size))).await;
            print_failover_times(&mut peers, size).await;
            print_costs_of_an_absent_member(&mut peers, size).await;
        });
    }
}

fn members(size: usize) -> String {
    let all: Vec<String> = (0..size).map(|i| i.to_string()).collect();
    all.join(" ")
}

async fn start_with_followers(followers: usize) -> Peers {
    let mut peers = Peers::new(3, followers).await;
    peers.step("start 0 1 2").await;
    peers.step("whole 0 1 2").await;
    for i in 3..3 + followers {
        peers.step(&format!("start {i}")).await;
    }
    for i in 3..3 + followers {
        peers.step(&format!("says {i} member=m")).await;
    }
    peers
}

/// Prints processor time and memory of the members and one follower without any calls.
async fn print_idle_costs(peers: &Peers, followers: usize) {
    tokio::time::sleep(Duration::from_secs(2)).await;
    let all: Vec<usize> = vec![0, 1, 2, 3];
    let cpu_time: Vec<Duration> = all.iter().map(|i| peers.cpu_time(*i)).collect();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let share = |(i, before): (&usize, &Duration)| {
        let cpu_time = peers.cpu_time(*i) - *before;
        format!("{:.2}%", cpu_time.as_secs_f64() * 10.0)
    };
    let shares: Vec<String> = all.iter().zip(&cpu_time).map(share).collect();
    let kb: Vec<u64> = all.iter().map(|i| peers.resident_kb(*i)).collect();
    println!("{followers} followers: members and one follower {shares:?} of a core, {kb:?} kB");
}

async fn print_propagation_time(peers: &mut Peers, followers: usize) {
    let began = Instant::now();
    assert!(peers.call(0, "SUSPEND a").await.starts_with("ACK"));
    let acknowledged = Instant::now();
    for i in 0..3 + followers {
        peers
            .step(&format!("answers {i} 1 suspended : STATUS"))
            .await;
    }
    println!(
        "ACK after {:?}, applied everywhere at most {:?} later",
        acknowledged - began,
        acknowledged.elapsed()
    );
}

/// Prints the time to the next acknowledged call after the leader is partitioned, or its frames are
/// dropped.
async fn print_failover_times(peers: &mut Peers, size: usize) {
    let mut failover_ms = Vec::new();
    for turn in 0..8 {
        let leader = peers.status(0, "leader").await.unwrap();
        let leader: usize = leader[1..].parse().unwrap();
        match turn % 2 {
            0 => peers.step(&format!("split {leader}")).await,
            _ => {
                for other in (0..size).filter(|i| *i != leader) {
                    peers.step(&format!("mute {leader} {other}")).await;
                }
            }
        }
        let began = Instant::now();
        let other = (leader + 1) % size;
        let mut answer = String::new();
        while !answer.starts_with("ACK") {
            answer = peers.call(other, "SUSPEND b").await;
        }
        failover_ms.push(began.elapsed().as_millis());
        if failover_ms.last().is_some_and(|ms| *ms > 1500) {
            println!("{}", peers.logs());
        }
        peers.step("heal").await;
        peers.step(&format!("led {}", members(size))).await;
        peers.step(&format!("call {other} ACK RESTORE b")).await;
    }
    println!(
        "{size} members: next acknowledged call after the leader is partitioned or muted: {failover_ms:?} ms"
    );
}

/// Prints memory and disk use while a member is absent and the log grows, and the time in which it
/// catches up.
async fn print_costs_of_an_absent_member(peers: &mut Peers, size: usize) {
    let absent = size - 1;
    peers.step(&format!("kill {absent}")).await;
    peers.step("led 0 1").await;
    let disk_kb = |peers: &Peers| {
        let path = peers.home(0).join("group/group.redb");
        std::fs::metadata(path).unwrap().len() / 1024
    };
    println!(
        "{size} members, one absent: {} kB, {} kB on the disk",
        peers.resident_kb(0),
        disk_kb(peers)
    );
    for _ in 0..5 {
        for turn in 0..4000 {
            let call = ["SUSPEND a", "RESTORE a"][turn % 2];
            // If the killed member was the leader, the first calls wait for another one.
            while !peers.call(turn % 2, call).await.starts_with("ACK") {}
        }
        println!(
            "after 4,000 more calls: {} kB, {} kB on the disk",
            peers.resident_kb(0),
            disk_kb(peers)
        );
    }
    let began = Instant::now();
    peers.step(&format!("start {absent}")).await;
    peers.step(&format!("out {absent}")).await;
    println!("restarted and caught up after {:?}", began.elapsed());
}
