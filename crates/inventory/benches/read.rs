//! Measures reading and comparing inventories of several sizes, in CSV and in YAML with group
//! variables.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use driftgap_inventory::{read, suspicious, File, Schema, Shares};
use std::fmt::Write;
use std::hint::black_box;

fn csv(hosts: usize) -> File {
    let mut text = String::from("name,address,zone,cell,weight,state,rack\n");
    for i in 0..hosts {
        let (a, b, c) = (i >> 16, i >> 8 & 255, i & 255);
        let _ = writeln!(
            text,
            "node-{i},10.{a}.{b}.{c}:6379,building-1,{},1.5,active,r{}",
            i % 7,
            i % 40
        );
    }
    File {
        path: "nodes.csv".into(),
        bytes: text.into_bytes(),
    }
}

fn yaml(hosts: usize) -> File {
    let mut text = String::from(
        "all:\n  vars: {zone: building-1, weight: 1.5}\n  children:\n    coast:\n      hosts:\n",
    );
    for i in 0..hosts {
        let (a, b, c) = (i >> 16, i >> 8 & 255, i & 255);
        let _ = writeln!(
            text,
            "        node-{i}: {{ansible_host: 10.{a}.{b}.{c}, rack: r{}}}",
            i % 40
        );
    }
    File {
        path: "nodes.yml".into(),
        bytes: text.into_bytes(),
    }
}

fn reading(c: &mut Criterion) {
    let schema = Schema {
        zones: vec!["building-1".into()],
        ..Schema::default()
    };
    let mut group = c.benchmark_group("read");
    for size in [100, 10_000, 100_000] {
        for (name, file) in [("csv", csv(size)), ("yaml", yaml(size))] {
            let files = [file];
            assert!(read(&files, &schema).has_no_errors());
            group.bench_function(BenchmarkId::new(name, size), |b| {
                b.iter(|| read(black_box(&files), &schema))
            });
        }
        let hosts = read(&[csv(size)], &schema).hosts;
        group.bench_function(BenchmarkId::new("suspicious", size), |b| {
            b.iter(|| suspicious(black_box(&hosts), black_box(&hosts), Shares::default()));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).warm_up_time(std::time::Duration::from_millis(300))
        .measurement_time(std::time::Duration::from_secs(2));
    targets = reading
}
criterion_main!(benches);
