//! The steps of a scenario, by whom they concern. The language is in the module comment of the stage.

use super::*;

impl Stage {
    /// Does one step of a scenario.
    pub async fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let done = words.is_empty()
            || self.write_step(line, &words).await
            || self.client_step(line, &words).await
            || self.answer_step(line, &words).await
            || self.endpoint_step(&words).await
            || self.service_step(line, &words).await
            || self.process_step(line, &words).await
            || self.check_step(line, &words).await;
        assert!(done, "no such step: {line}");
    }
}

impl Stage {
    /// What clients write. False: it is no such step.
    async fn write_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["send", rest @ ..] => self.send(rest).await,
            ["raw", name, ..] => {
                let text = line.splitn(3, ' ').nth(2).unwrap_or("");
                let text = text.replace("\\r", "\r").replace("\\n", "\n");
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("raw is for RESP")
                };
                stream.write_all(text.as_bytes()).await.unwrap();
            }
            ["burst", name, n] => self.write_burst(name, n).await,
            ["garbage", name, n] => {
                let noise = "x".repeat(n.parse().unwrap());
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("garbage is for RESP")
                };
                write_taken(stream, noise.as_bytes()).await;
            }
            ["fin", name] => {
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("fin is for RESP")
                };
                stream.shutdown().await.unwrap();
            }
            ["long", name, n] => {
                let value = "x".repeat(n.parse::<usize>().unwrap() / 2);
                let text = format!(
                    "*3\r\n$4\r\nPING\r\n${0}\r\n{value}\r\n${0}\r\n{value}\r\n",
                    value.len()
                );
                let Client::Resp { stream, .. } = self.client(name).await else {
                    panic!("long is for RESP")
                };
                stream.write_all(text.as_bytes()).await.unwrap();
            }
            ["incomplete", name, n] => self.write_part(name, n).await,
            _ => return false,
        }
        true
    }

    /// Writes so many requests at once, as far as they are taken.
    async fn write_burst(&mut self, name: &str, n: &str) {
        let terms = "c=fetch-episode,t=national,d=3000,units=1,spread=1,first=0";
        let request = |i: usize| {
            let id = format!("{name}{i}");
            let tenant = format!("{i:016x}");
            let words = ["SVC.QUERY", &tenant, &id, terms];
            let words = words.map(|word| format!("${}\r\n{word}\r\n", word.len()));
            format!("*4\r\n{}", words.concat())
        };
        let text: String = (0..n.parse().unwrap()).map(request).collect();
        let Client::Resp { stream, .. } = self.client(name).await else {
            panic!("burst is for RESP")
        };
        write_taken(stream, text.as_bytes()).await;
    }

    /// Writes all but the end of a request with a body of so many bytes.
    async fn write_part(&mut self, name: &str, n: &str) {
        let head = "*5\r\n$10\r\nSVC.SUBMIT\r\n$16\r\n0000000000000007\r\n$1\r\np\r\n";
        let terms = "c=book-rebroadcast,t=city,d=2000,units=1,spread=1,first=0";
        let n = n.parse::<usize>().unwrap();
        let text = format!(
            "{head}${}\r\n{terms}\r\n${n}\r\n{}",
            terms.len(),
            "x".repeat(n - 1)
        );
        let Client::Resp { stream, .. } = self.client(name).await else {
            panic!("incomplete is for RESP")
        };
        // What is not read on stays with the writer.
        let _ = stream.try_write(text.as_bytes());
    }

    /// What clients do beside that. False: it is no such step.
    async fn client_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["reset", name, id] => match self.clients.get_mut(*name).unwrap() {
                Client::Resp { .. } => drop(self.clients.remove(*name)),
                Client::Http2 { streams, .. } => {
                    streams
                        .remove(*id)
                        .unwrap()
                        .1
                        .send_reset(h2::Reason::CANCEL);
                }
            },
            ["close", name] => drop(self.clients.remove(*name)),
            [method @ ("get" | "post"), name, id, path, headers @ ..] => {
                let Client::Http2 { send, streams, .. } = self.client(name).await else {
                    panic!("HTTP/2 alone")
                };
                let mut request = http::Request::builder()
                    .method(method.to_uppercase().as_str())
                    .uri(format!("http://ingress{path}"));
                for (name, value) in headers.iter().filter_map(|h| h.split_once('=')) {
                    request = request.header(name, value);
                }
                let mut ready = send.clone().ready().await.unwrap();
                let stream = ready.send_request(request.body(()).unwrap(), true).unwrap();
                streams.insert(id.to_string(), stream);
            }
            ["flood", name, n] => self.flood(name, n.parse().unwrap()).await,
            ["late_duplicates", name, endpoint, n, most] => {
                let (n, most) = (n.parse().unwrap(), most.parse().unwrap());
                self.send_until_answered_twice(name, endpoint, n, most)
                    .await;
            }
            ["retry", name, terms @ ..] => {
                for turn in 0.. {
                    let id = format!("{name}-{turn}");
                    self.send(&[&[*name, id.as_str()], terms].concat()).await;
                    let answer = self.answer(name, &id).await;
                    if answer.starts_with("served") {
                        break;
                    }
                    assert_eq!(answer, "busy", "{:?}: {line}", self.front);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
            ["small_receive_buffer"] => self.tight = true,
            ["idle", n] => {
                let to = &self.ports[if self.front == Wire::Resp {
                    "resp"
                } else {
                    "http2"
                }];
                let connects = (0..n.parse::<usize>().unwrap())
                    .map(|_| spawn_local(TcpStream::connect(to.clone())));
                for connect in connects.collect::<Vec<_>>() {
                    self.idle_connections.push(connect.await.unwrap().unwrap());
                }
            }
            ["idle_after_ping", n] => {
                for _ in 0..n.parse::<usize>().unwrap() {
                    let stream = self.ping().await.expect("a yes to PING");
                    self.idle_connections.push(stream);
                }
            }
            _ => return false,
        }
        true
    }
}

impl Stage {
    /// Answers that clients expect, and attempts that endpoints expect and answer. False: it is no such step.
    async fn answer_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["expect", "exit"] => loop {
                if let Some(status) = self.program.try_wait().unwrap() {
                    assert!(status.success(), "{status}");
                    if let Some(second) = self.second.take() {
                        self.program = second;
                    }
                    break;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            },
            ["expect", endpoint, id]
                if *endpoint == "*" || self.endpoints.contains_key(*endpoint) =>
            {
                self.arrived(endpoint, id).await;
            }
            ["expect", name, id, what @ ..] => {
                let (got, want) = (self.answer(name, id).await, what.join(" "));
                assert!(
                    got.starts_with(&want),
                    "{:?}: {line}: got {got}",
                    self.front
                );
                self.answers.push(got);
            }
            ["answer", endpoint, id, how @ ..] => {
                self.answer_attempt(endpoint, id, how.join(" ")).await;
            }
            ["retry_after", name, id, min, max] => {
                self.retry_advice(line, name, id, min, max).await
            }
            _ => return false,
        }
        true
    }

    /// Answers an attempt once it has arrived.
    async fn answer_attempt(&mut self, endpoint: &str, id: &str, how: String) {
        let key = self.arrived(endpoint, id).await;
        let reply = self.shared.arrived.borrow_mut().remove(&key).unwrap();
        let _ = reply.send(how);
    }

    /// Sends requests one behind the other, so that a connection is wanted again before the second answer is there,
    /// and checks that each gets its own answer.
    async fn send_until_answered_twice(
        &mut self,
        name: &str,
        endpoint: &str,
        second_answers: usize,
        most: usize,
    ) {
        /// Pauses between requests, ms, are 0 to one less than this: below, at and above that of the second answer.
        const PAUSES: u64 = 7;
        for turn in 0..most {
            if self.shared.second_answers.get() >= second_answers {
                return;
            }
            let (id, value) = (format!("{name}{turn}"), format!("v{turn}."));
            self.send(&[name, &id, "book-rebroadcast", "national", "7"])
                .await;
            self.answer_attempt(endpoint, &id, format!("late_duplicate {value}"))
                .await;
            let answer = self.answer(name, &id).await;
            assert_eq!(answer, format!("served {value}"), "request {id}");
            tokio::time::sleep(Duration::from_millis(turn as u64 % PAUSES)).await;
        }
        let written = self.shared.second_answers.get();
        assert!(
            written >= second_answers,
            "{written} second answers in {most} requests"
        );
    }

    /// The answer is a rejection that names a time to come again, ms, within these bounds.
    async fn retry_advice(&mut self, line: &str, name: &str, id: &str, min: &str, max: &str) {
        let ms: u64 = match self.clients.get_mut(name).unwrap() {
            Client::Http2 { streams, .. } => {
                let response = streams.remove(id).unwrap().0.await.unwrap();
                response.headers()["retry-after-ms"]
                    .to_str()
                    .unwrap()
                    .parse()
                    .unwrap()
            }
            Client::Resp {
                stream,
                buffer,
                sent,
            } => {
                while !buffer.ends_with(b"\r\n") && read_some(stream, buffer).await {}
                let text = String::from_utf8_lossy(buffer).to_string();
                buffer.clear();
                sent.pop_front();
                let ms = text
                    .strip_prefix("-BUSY ")
                    .unwrap_or_else(|| panic!("{line}: {text}"));
                ms.trim().parse().unwrap()
            }
        };
        let range = min.parse::<u64>().unwrap()..=max.parse().unwrap();
        assert!(range.contains(&ms), "{:?}: {line}: {ms}", self.front);
        self.answers.push("retry_after".into());
    }
}

impl Stage {
    /// What becomes of endpoints. False: it is no such step.
    async fn endpoint_step(&mut self, words: &[&str]) -> bool {
        match words {
            ["add_unreachable", name] => self.add_unreachable_endpoint(name).await,
            ["make_reachable", name] => self.serve_unreachable_endpoint(name).await,
            ["state", name, state] => {
                let (port, wire) = self.endpoints[*name];
                let entry = entry(name, port, wire, state);
                self.list.send_modify(|changes| changes.push(entry));
            }
            ["always", how @ ..] => *self.shared.always.borrow_mut() = Some(how.join(" ")),
            ["pool", name, label] => {
                let (port, wire) = self.endpoints[*name];
                let entry = entry(name, port, wire, "active");
                let labels = format!(r#""labels":{{"pool":"{label}"}},"state""#);
                self.list
                    .send_modify(|changes| changes.push(entry.replace(r#""state""#, &labels)));
                tokio::time::sleep(Duration::from_millis(60)).await;
            }
            ["reject_by_goaway"] => *self.shared.unseen.borrow_mut() = true,
            _ => return false,
        }
        true
    }

    /// Discovery tells of an endpoint whose listener accepts nothing and whose queue is full.
    async fn add_unreachable_endpoint(&mut self, name: &str) {
        // A line of connections that nobody takes: further ones do not come up.
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket
            .bind(
                &"127.0.0.1:0"
                    .parse::<std::net::SocketAddr>()
                    .unwrap()
                    .into(),
            )
            .unwrap();
        socket.listen(0).unwrap();
        let at = socket.local_addr().unwrap().as_socket().unwrap();
        let line = (0..4)
            .map(|_| spawn_local(TcpStream::connect(at)))
            .collect::<Vec<_>>();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let wire = self.endpoints["a"].1;
        self.endpoints.insert(name.to_string(), (at.port(), wire));
        self.full_listeners.push((name.to_string(), socket, line));
        let entry = entry(name, at.port(), wire, "active");
        self.list.send_modify(|changes| changes.push(entry));
    }

    /// The listener of such an endpoint accepts connections from now on.
    async fn serve_unreachable_endpoint(&mut self, name: &str) {
        let at = self
            .full_listeners
            .iter()
            .position(|full_listeners| full_listeners.0 == *name)
            .expect("one that is clogged");
        let (name, socket, line) = self.full_listeners.remove(at);
        line.iter().for_each(tokio::task::JoinHandle::abort);
        socket.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let (wire, shared) = (self.endpoints[&name].1, self.shared.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                match wire {
                    Wire::Resp => spawn_local(resp_endpoint(name.clone(), stream, shared.clone())),
                    Wire::Http2 => {
                        spawn_local(http2_endpoint(name.clone(), stream, shared.clone()))
                    }
                };
            }
        });
    }

    /// What becomes of discovery, the counter and the files of the program. False: it is no such step.
    async fn service_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["inventory", names @ ..] => {
                let row = |name: &&str| {
                    let (name, state) = name.split_once('=').unwrap_or((name, ""));
                    match self.endpoints.get(name) {
                        Some((port, Wire::Http2)) => {
                            format!("{name},127.0.0.1:{port},building-1,http2,{state}\n")
                        }
                        Some((port, Wire::Resp)) => {
                            format!("{name},127.0.0.1:{port},building-1,resp,{state}\n")
                        }
                        None => format!("{name},nowhere,,,\n"),
                    }
                };
                let rows: String = names.iter().map(row).collect();
                std::fs::write(self.folder.join("inventory.csv"), format!("{HEADER}{rows}"))
                    .unwrap();
                self.reload_files().await;
            }
            ["move", services @ ..] => {
                let old = self.relocate(services).await;
                self.reload_files().await;
                tokio::time::sleep(Duration::from_millis(100)).await;
                old.iter().for_each(AbortHandle::abort);
            }
            ["rules", ..] => {
                let text = line
                    .split_once(' ')
                    .map_or("", |x| x.1)
                    .replace("\\n", "\n");
                std::fs::write(self.folder.join("rules.toml"), text).unwrap();
                self.reload_files().await;
            }
            ["config", text @ ..] => {
                std::fs::write(self.folder.join("config.json"), text.join(" ")).unwrap();
                self.reload_files().await;
            }
            ["counter", how] => *self.shared.counter.borrow_mut() = how.to_string(),
            ["discovery", how] => *self.shared.discovery.borrow_mut() = how.to_string(),
            _ => return false,
        }
        true
    }
}

impl Stage {
    /// The program's processes, and calls of the staff. False: it is no such step.
    async fn process_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["stop"] => self.signal("-TERM"),
            ["freeze"] => {
                self.signal("-STOP");
                let stopped = || {
                    let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.program.id()))
                        .unwrap();
                    stat.rsplit(')')
                        .next()
                        .unwrap()
                        .trim_start()
                        .starts_with('T')
                };
                while !stopped() {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
            }
            ["thaw"] => self.signal("-CONT"),
            ["inherited_socket" | "small_memory" | "more_descriptors"] | ["with", ..] => {}
            ["start_second"] => {
                self.operator_port += 1;
                self.second = Some(self.start());
                for turn in 0.. {
                    let up = TcpStream::connect(self.operator_address()).await.is_ok();
                    if up && self.call("STATUS").await.starts_with("ACK") {
                        break;
                    }
                    assert!(turn < 400, "the second process is not ready");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
            ["start_fails"] => {
                // Its second address is taken, by the stage.
                self.operator_port += 1;
                let _taken = TcpListener::bind(self.operator_address()).await.unwrap();
                let mut program = self.start();
                let status = program.wait().unwrap();
                assert_eq!(status.code(), Some(2));
                self.operator_port -= 1;
            }
            ["kill"] => {
                self.program.kill().unwrap();
                self.program.wait().unwrap();
                self.program = self.second.take().expect("a second process");
            }
            ["call", word, text @ ..] => {
                let answer = self.call(&text.join(" ")).await;
                assert!(
                    answer.starts_with(word),
                    "{:?}: {line}: {answer}",
                    self.front
                );
            }
            ["partial_call", text @ ..] => {
                let mut stream = TcpStream::connect(self.operator_address()).await.unwrap();
                stream.write_all(text.join(" ").as_bytes()).await.unwrap();
                self.idle_connections.push(stream);
            }
            _ => return false,
        }
        true
    }

    /// Time, and what is checked of the program and of the stand-ins. False: it is no such step.
    async fn check_step(&mut self, line: &str, words: &[&str]) -> bool {
        match words {
            ["memory"] => self.memory = self.resident_mb(),
            ["memory", max] => {
                let grown = self.resident_mb() - self.memory;
                assert!(
                    grown <= max.parse().unwrap(),
                    "{:?}: {line}: {grown} MB",
                    self.front
                );
            }
            ["descriptors", max] => {
                let of = |program: &Child| {
                    std::fs::read_dir(format!("/proc/{}/fd", program.id()))
                        .map_or(0, Iterator::count)
                };
                let all = of(&self.program) + self.second.as_ref().map_or(0, of);
                assert!(all <= max.parse().unwrap(), "{line}: {all}");
            }
            ["wait", ms] => tokio::time::sleep(Duration::from_millis(ms.parse().unwrap())).await,
            ["runs", id, n] => {
                let runs = self.shared.runs.borrow().get(*id).copied().unwrap_or(0);
                assert_eq!(runs.to_string(), *n, "{line}");
            }
            ["attempts", "none"] => assert_eq!(self.attempts(), self.begun, "{line}"),
            ["attempts", min] => {
                self.begun = self.attempts();
                assert!(self.begun >= min.parse().unwrap(), "{line}: {}", self.begun);
            }
            ["counted", n] => {
                let (n, total): (f64, f64) = (n.parse().unwrap(), self.counted());
                assert!((n..n + 1.0).contains(&total), "{line}: {total}");
            }
            ["counted", n, rate] => {
                self.check_counted(line, n.parse().unwrap(), rate.parse().unwrap());
            }
            _ => return false,
        }
        true
    }

    /// Units that the counter holds.
    fn counted(&self) -> f64 {
        self.shared.totals.borrow().values().sum()
    }

    /// The counter holds these units, and at most so many more for each second since it got the first ones.
    fn check_counted(&self, line: &str, units: f64, units_per_s: f64) {
        /// Amounts are rounded to single precision on their way.
        const ROUNDING: f64 = 1e-3;
        let first_counted = self.shared.first_counted.get();
        let elapsed_s = first_counted.map_or(0.0, |at| at.elapsed().as_secs_f64());
        let total = self.counted();
        let most = units + units_per_s * elapsed_s + ROUNDING;
        assert!(
            (units..=most).contains(&total),
            "{line}: {total}, {elapsed_s} s after the first"
        );
    }
}
