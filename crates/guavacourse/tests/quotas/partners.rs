//! With whom processes exchange reports.

use std::net::{Ipv4Addr, SocketAddr};

use guavacourse::modules::{
    inventory::Address,
    members::Member,
    quotas::{Partners, Role},
};

use crate::fleet::{Fleet, Load};

/// Guards against two connections between the same processes, and against a process
/// that reports to none: all processes but one in each data centre call that one, and
/// the first ones call each other once.
#[test]
fn processes_form_one_tree_per_data_centre() {
    let fleet = Fleet::large(vec![Load::usual("c", 1.0)], 1);
    let callers = fleet.callers();
    assert_eq!(callers.len(), 62 - 6 + 15);
    for (from, to) in &callers {
        assert!(!callers.contains(&(to.clone(), from.clone())));
    }
}

/// Guards against reports that go round in a circle: processes that know different
/// members, and do not reach all of them, never report to each other in turn.
#[test]
fn processes_with_different_views_form_no_circle() {
    let mut random = fastrand::Rng::with_seed(2);
    let members: Vec<Member> = (1..=9)
        .map(|number| Member {
            name: format!("p-{number}"),
            data_centre: "a".to_owned(),
            queries: Address(SocketAddr::from((Ipv4Addr::LOCALHOST, number))),
            power: random.u32(1..4) * 100,
            ..Member::default()
        })
        .collect();
    for _ in 0..500 {
        let parents = members.iter().map(|own| {
            let known: Vec<&Member> = members.iter().filter(|_| random.bool()).collect();
            let lost = format!("p-{}", random.u32(1..=9));
            let partners = Partners::select(own, known, |name| name != lost);
            let parent = partners.calls.into_iter().next();
            parent.inspect(|parent| assert_eq!(parent.role, Role::Parent))
        });
        let parents: Vec<Option<String>> = parents.map(|p| p.map(|p| p.name)).collect();
        for start in 0..members.len() {
            let mut at = Some(start);
            for _ in 0..members.len() {
                let name = at.and_then(|at| parents[at].clone());
                at = members
                    .iter()
                    .position(|member| Some(&member.name) == name.as_ref());
            }
            assert_eq!(at, None, "{parents:?}");
        }
    }
}
