//! Which callers lose their connections when memory or connections run out.

use std::time::Duration;

use guavacourse::modules::{
    caller_memory::{
        CallerKey, CallerLimits, CallerMemory, InstanceLimits, NoRoom, RECEIVE_BUFFER,
        WAITING_CONNECTIONS,
    },
    time::Time,
};

const KB: usize = 1_024;
const BODY: usize = 256 * KB;

/// Room for some 30 large bodies and for 64 connections.
const LIMITS: CallerLimits = CallerLimits {
    bytes: 8 * KB * KB,
    reserve: 2 * KB * KB,
    connections: 64,
    closing: 4,
};

fn at(millis: u64) -> Time {
    Time::default().after(Duration::from_millis(millis))
}

fn open(memory: &mut CallerMemory, now: Time) -> CallerKey {
    memory.open(now).expect("room for a connection")
}

/// Opens a connection on which `bytes` of a request have arrived.
fn receive(memory: &mut CallerMemory, bytes: usize, now: Time) -> (CallerKey, Result<(), NoRoom>) {
    let key = open(memory, now);
    memory.begin(key, now);
    memory.moved(key, bytes, now);
    (key, memory.charge(key, bytes, now))
}

/// Closes the connections that were chosen, and returns them.
fn close_victims(memory: &mut CallerMemory) -> Vec<CallerKey> {
    let victims = memory.take_victims();
    for victim in &victims {
        memory.close(*victim);
    }
    victims
}

/// Guards against bodies that stand still taking all memory, whatever their number.
#[test]
fn a_crowd_of_bodies_that_stand_still_stays_within_the_limit() {
    let mut memory = CallerMemory::new(LIMITS);
    for number in 0..1_000 {
        let (key, room) = receive(&mut memory, BODY - 1, at(number));
        if room.is_err() {
            memory.close(key);
        }
        close_victims(&mut memory);
        assert!(
            memory.held() <= LIMITS.bytes,
            "{} at {number}",
            memory.held()
        );
    }
}

/// Guards against choosing the newest connection: a moving body would never end.
#[test]
fn the_body_with_the_least_progress_gives_way() {
    let mut memory = CallerMemory::new(LIMITS);
    let still: Vec<_> = (0..20)
        .map(|_| receive(&mut memory, BODY, at(0)).0)
        .collect();
    let moving = open(&mut memory, at(2_000));
    memory.begin(moving, at(2_000));
    for step in 1..=8 {
        let now = at(2_000 + step * 500);
        memory.moved(moving, BODY / 8, now);
        let held = usize::try_from(step).expect("small") * BODY / 8;
        memory.charge(moving, held, now).expect("room");
    }
    for _ in 0..16 {
        let (_, room) = receive(&mut memory, BODY, at(6_000));
        assert_eq!(room, Ok(()));
        let victims = close_victims(&mut memory);
        assert!(victims.iter().all(|victim| still.contains(victim)));
    }
    assert_eq!(memory.run(moving, BODY, at(6_000)), Ok(()));
}

/// Guards against a slow trickle counting as progress.
#[test]
fn a_trickle_gives_way_before_a_faster_body() {
    let mut memory = CallerMemory::new(LIMITS);
    let (trickle, _) = receive(&mut memory, 3 * KB * KB, at(0));
    for second in 1..60 {
        memory.moved(trickle, 1, at(second * 1_000));
    }
    let (fast, _) = receive(&mut memory, 2 * KB * KB, at(58_000));
    let (_, room) = receive(&mut memory, 2 * KB * KB, at(60_000));
    assert_eq!(room, Ok(()));
    assert_eq!(memory.take_victims(), [trickle]);
    assert!(memory.run(fast, 0, at(60_000)).is_ok());
}

/// Guards against closing a connection whose request may have run.
#[test]
fn a_running_request_never_gives_way() {
    let mut memory = CallerMemory::new(LIMITS);
    let mut running = Vec::new();
    loop {
        let key = open(&mut memory, at(0));
        memory.begin(key, at(0));
        if memory.run(key, BODY, at(0)).is_err() {
            memory.close(key);
            break;
        }
        running.push(key);
    }
    for _ in 0..100 {
        let (key, room) = receive(&mut memory, BODY, at(5_000));
        assert_eq!(room, Err(NoRoom), "a large body has no room");
        memory.close(key);
    }
    assert_eq!(memory.take_victims(), []);
    assert!(running.len() >= 8, "{} run", running.len());
}

/// Guards against large requests locking out ordinary ones.
#[test]
fn a_small_request_finds_room_beside_large_ones_that_run() {
    let mut memory = CallerMemory::new(LIMITS);
    for _ in 0..LIMITS.connections - 1 {
        let key = open(&mut memory, at(0));
        memory.begin(key, at(0));
        if memory.run(key, BODY, at(0)).is_err() {
            memory.close(key);
        }
    }
    let small = open(&mut memory, at(1));
    memory.begin(small, at(1));
    assert_eq!(memory.charge(small, 4 * KB, at(1)), Ok(()));
    assert_eq!(memory.run(small, 4 * KB, at(1)), Ok(()));
    assert_eq!(memory.take_victims(), []);
}

/// Guards against heads that stand still filling the reserve of ordinary requests.
#[test]
fn a_small_request_finds_room_beside_heads_that_stand_still() {
    let limits = CallerLimits {
        connections: 10_000,
        ..LIMITS
    };
    let mut memory = CallerMemory::new(limits);
    for number in 0..3_000 {
        let (_, room) = receive(&mut memory, 16 * KB, at(number / 100));
        assert_eq!(room, Ok(()));
        close_victims(&mut memory);
    }
    let (small, room) = receive(&mut memory, 4 * KB, at(40));
    assert_eq!(room, Ok(()));
    assert_eq!(memory.run(small, 4 * KB, at(40)), Ok(()));
    assert!(!memory.take_victims().contains(&small));
}

/// Guards against a reader that has stopped keeping the memory of its answer.
#[test]
fn a_response_that_nobody_reads_gives_way() {
    let mut memory = CallerMemory::new(LIMITS);
    let unread: Vec<_> = (0..5)
        .map(|_| {
            let key = open(&mut memory, at(0));
            memory.begin(key, at(0));
            memory.run(key, KB, at(0)).expect("room");
            memory.answer(key, at(0));
            memory.charge(key, KB * KB, at(0)).expect("room");
            key
        })
        .collect();
    let (_, room) = receive(&mut memory, 2 * KB * KB, at(3_000));
    assert_eq!(room, Ok(()));
    let victims = memory.take_victims();
    assert!(!victims.is_empty() && victims.iter().all(|victim| unread.contains(victim)));
}

/// Guards against silent connections locking out a new one.
#[test]
fn a_new_connection_takes_the_place_of_the_one_that_is_silent_for_longest() {
    let mut memory = CallerMemory::new(LIMITS);
    let silent: Vec<_> = (0..LIMITS.connections)
        .map(|number| open(&mut memory, at(number as u64)))
        .collect();
    open(&mut memory, at(100));
    assert_eq!(memory.take_victims(), silent[..1]);
}

/// Guards against a flood of silent connections closing those of served callers first.
#[test]
fn a_connection_that_was_served_outlasts_new_silent_ones() {
    let mut memory = CallerMemory::new(LIMITS);
    let served = open(&mut memory, at(0));
    memory.begin(served, at(0));
    memory.run(served, KB, at(0)).expect("room");
    memory.wait(served, at(10));
    for number in 0..1_000 {
        open(&mut memory, at(5_000 + number / 100));
        assert!(!close_victims(&mut memory).contains(&served));
    }
}

/// Guards against connections being accepted faster than those chosen for them close.
#[test]
fn connections_that_have_not_closed_yet_hold_up_new_ones() {
    let mut memory = CallerMemory::new(LIMITS);
    for _ in 0..LIMITS.connections + LIMITS.closing {
        open(&mut memory, at(0));
    }
    assert!(!memory.is_crowded());
    open(&mut memory, at(0));
    assert!(memory.is_crowded());
    close_victims(&mut memory);
    assert!(!memory.is_crowded());
    assert_eq!(memory.connections(), LIMITS.connections);
}

/// Guards against a process that reads on while those told to close still hold memory.
#[test]
fn reading_waits_until_the_chosen_have_let_go() {
    let mut memory = CallerMemory::new(LIMITS);
    let (still, _) = receive(&mut memory, 5 * KB * KB, at(0));
    let (_, room) = receive(&mut memory, 4 * KB * KB, at(2_000));
    assert_eq!(room, Ok(()));
    assert_eq!(memory.take_victims(), [still]);
    assert!(memory.must_wait());
    memory.close(still);
    assert!(!memory.must_wait());
}

/// Guards against limits that ordinary callers of the smallest instance would meet.
#[test]
fn the_smallest_instance_has_room_for_ordinary_callers() {
    let smallest = InstanceLimits {
        memory: 160 * KB * KB,
        descriptors: 4_100,
    };
    let limits = smallest.callers(RECEIVE_BUFFER);
    let mut memory = CallerMemory::new(limits);
    for _ in 0..40 {
        let (key, room) = receive(&mut memory, BODY + 16 * KB, at(0));
        assert_eq!(room, Ok(()));
        assert_eq!(memory.run(key, BODY + 16 * KB, at(0)), Ok(()));
    }
    assert_eq!(memory.take_victims(), []);
    assert!(limits.connections >= 1_000, "{}", limits.connections);
    assert!(limits.connections + limits.closing + 200 < 4_100);
}

/// Guards against receive buffers that together hold more than their share of the memory,
/// where the system does not make them smaller.
#[test]
fn large_receive_buffers_leave_fewer_connections() {
    let mut rows = Vec::new();
    for (megabytes, descriptors) in [(64, 4_100), (160, 4_100), (512, 8_192)] {
        let instance = InstanceLimits {
            memory: megabytes * KB * KB,
            descriptors,
        };
        for buffer in [4, 16, 64, 256] {
            let limits = instance.callers(buffer * KB);
            let open = limits.connections + limits.closing + WAITING_CONNECTIONS;
            let unread = open * buffer / KB;
            let open = limits.connections;
            rows.push(format!(
                "{megabytes} MB, buffers of {buffer} KB: {open} open, {unread} MB unread"
            ));
        }
    }
    insta::assert_snapshot!(rows.join("\n"), @r"
    64 MB, buffers of 4 KB: 480 open, 2 MB unread
    64 MB, buffers of 16 KB: 480 open, 10 MB unread
    64 MB, buffers of 64 KB: 224 open, 24 MB unread
    64 MB, buffers of 256 KB: 16 open, 44 MB unread
    160 MB, buffers of 4 KB: 1248 open, 5 MB unread
    160 MB, buffers of 16 KB: 1248 open, 22 MB unread
    160 MB, buffers of 64 KB: 800 open, 60 MB unread
    160 MB, buffers of 256 KB: 80 open, 60 MB unread
    512 MB, buffers of 4 KB: 4064 open, 16 MB unread
    512 MB, buffers of 16 KB: 4064 open, 66 MB unread
    512 MB, buffers of 64 KB: 2912 open, 192 MB unread
    512 MB, buffers of 256 KB: 608 open, 192 MB unread
    ");
}

/// Guards against places for peers that the largest fleet would use up: an instance is
/// followed by those of its data centre, and a strong one runs queries for all.
#[test]
fn the_largest_fleet_finds_places_for_its_peers() {
    const FLEET: usize = 540;
    const DATA_CENTRES: usize = 5;
    for buffer in [16 * KB, 64 * KB] {
        let weak = InstanceLimits {
            memory: 160 * KB * KB,
            descriptors: 4_100,
        };
        let strong = InstanceLimits {
            memory: 512 * KB * KB,
            descriptors: 8_192,
        };
        let places = weak.peers(buffer).connections;
        assert!(places >= FLEET / DATA_CENTRES, "{places} on a weak one");
        let places = strong.peers(buffer).connections;
        assert!(places >= FLEET, "{places} on a strong one");
    }
}
