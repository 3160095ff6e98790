//! Cost of each pure decision with 1, 10 and 100 times the present amount of state.

use budget::{Act, Gate, HallBudget};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use declarations::Bundle;
use entry::{Call, Candidate, Entry, Event, Origin, SelectionRule, Treatment};
use home::{Config, Home, Offer, Verdict};
use keys::{Claims, KeyAction, KeyHash, KeyOutcome, KeyTable};
use names::{AttemptId, BootId, Moment, Name};
use policy::{Input, Policy};
use std::hint::black_box;

/// Factors by which the amount of state is multiplied.
const SCALES: [u64; 3] = [1, 10, 100];
/// Present number of upstreams in a group.
const UPSTREAMS: u64 = 4;
/// Records of ended attempts after one minute at the present rate.
const RECORDS: u64 = 500;
/// Present number of idempotency keys at a node.
const KEYS: u64 = 200;

fn offer(seq: u64) -> Offer {
    Offer {
        id: AttemptId {
            boot: BootId(1),
            seq,
        },
        service: "s".into(),
        remaining_us: 1_000_000,
        objective_us: None,
        priority: 1,
        level: 0,
        repeatable: true,
        may_queue: true,
        repeat: false,
        suspicion: home::Suspicion::None,
        returned: false,
        report_straggler: false,
        known_limit: None,
        account: None,
    }
}

fn select(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose among upstreams");
    for scale in SCALES {
        let candidates: Vec<Candidate> = (0..UPSTREAMS * scale)
            .map(|n| Candidate {
                vm: Name::from(format!("vm-{n}")),
                same_hall: n % 3 == 0,
                local: false,
            })
            .collect();
        let mut entry = Entry::new(BootId(1), SelectionRule::Expected, 1);
        group.bench_function(BenchmarkId::from_parameter(UPSTREAMS * scale), |b| {
            b.iter(|| {
                let treatment = Treatment {
                    repeatable: true,
                    priority: 1,
                    max_runs: 2,
                    max_arrivals: 2,
                    origin: Origin::Client,
                };
                let mut call: Call<u64> =
                    Call::new("s".into(), treatment, Moment(9_000_000), candidates.clone());
                black_box(call.step(Moment(1), Event::Begin, &mut entry));
                black_box(call.step(Moment(1), Event::CallerDisconnected, &mut entry));
            });
        });
    }
    group.finish();
}

fn admit(c: &mut Criterion) {
    let mut group = c.benchmark_group("admit and complete, by records kept");
    for scale in SCALES {
        let mut home: Home<u64> = Home::new(BootId(2), Config::default());
        let mut now = Moment(1);
        let mut seq = 0;
        let mut step = move || {
            let offer = offer(seq);
            let id = offer.id;
            home.offer(now, &offer);
            black_box(home.completed(now + 100, id, Verdict::Good, None));
            seq += 1;
            now = now + 60_000_000 / (RECORDS * scale);
        };
        for _ in 0..RECORDS * scale {
            step();
        }
        group.bench_function(BenchmarkId::from_parameter(RECORDS * scale), |b| {
            b.iter(&mut step);
        });
    }
    group.finish();
}

fn key(c: &mut Criterion) {
    let mut group = c.benchmark_group("begin and end a key, by keys kept");
    for scale in SCALES {
        let mut table: KeyTable<u64> = KeyTable::new(1_000_000, 256);
        let mut claims = Claims::new(1_000_000);
        let vm = Name::from("vm");
        let mut now = Moment(1);
        let mut number = 0_u64;
        let mut step = move || {
            let key = KeyHash::new(&vm, &number.to_string());
            if table.begin(now, key, now, false) == KeyAction::Run {
                table.end(now, key, KeyOutcome::Answered(number));
            }
            black_box(claims.claim(now, key, &vm, BootId(1)));
            number += 1;
            now = now + keys::KEY_RETENTION_US / (KEYS * scale);
        };
        for _ in 0..KEYS * scale {
            step();
        }
        group.bench_function(BenchmarkId::from_parameter(KEYS * scale), |b| {
            b.iter(&mut step);
        });
    }
    group.finish();
}

fn policy(c: &mut Criterion) {
    let source = include_str!("../../../examples/windhoek/bids.rhai");
    let policy = Policy::compile("bids.rhai", source).expect("the example compiles");
    let input = Input {
        method: "POST".to_string(),
        path: "/bids".to_string(),
        ..Input::default()
    };
    c.bench_function("evaluate a policy of seven lines", |b| {
        b.iter(|| black_box(policy.evaluate(&input)));
    });
}

fn gate(c: &mut Criterion) {
    let mut gate = Gate::new(Moment(1));
    let hall = HallBudget {
        messages_per_s: 60.0,
        slot_us_per_s: 0.0,
    };
    gate.set_hall_budget(Moment(1), hall, 95);
    let mut now = Moment(1);
    c.bench_function("spend from the measuring budget", |b| {
        b.iter(|| {
            now = now + 50_000;
            black_box(gate.spend(now, Act::HEARTBEAT))
        });
    });
}

/// Declarations with `count` routes, of which the one numbered `changed` has another deadline.
fn routes(count: usize, changed: Option<usize>) -> Bundle {
    let mut text = "[registered one]\nhealth_path = /health\n\n".to_string();
    for i in 0..count {
        let deadline_ms = if changed == Some(i) { 700 } else { 900 };
        text += &format!("[route r-{i}]\nhost = one.example\npath = /{i}/\nservices = one:1\n");
        text += &format!("deadline_ms = {deadline_ms}\nobjective_ms = 500\nattempts = 2\n\n");
    }
    let files = [("services.ini".to_string(), text)].into();
    Bundle { files }
}

fn check_routes(c: &mut Criterion) {
    let mut group = c.benchmark_group("check declarations");
    for count in [100, 1_400, 4_200] {
        let before = declarations::check(&routes(count, None)).expect("the declarations are valid");
        let after = routes(count, Some(count / 2));
        group.bench_function(BenchmarkId::new("full check", count), |b| {
            b.iter(|| black_box(declarations::check(&after)));
        });
        group.bench_function(BenchmarkId::new("one route changed", count), |b| {
            b.iter(|| black_box(declarations::check_incremental(after.clone(), &before)));
        });
    }
    group.finish();
}

criterion_group!(benches, select, admit, key, policy, gate, check_routes);
criterion_main!(benches);
