//! Tests the decoding of endpoints: required and optional fields.

use gaugestep_dispatch::interface::Readiness;
use serde_json::json;

use super::{EndpointError, EndpointUpdate};

#[test]
fn all_fields_of_an_endpoint_are_decoded() {
    let member = json!({
        "id": "s-0", "phase": "DRAINING", "host_port": "127.0.0.1:7", "locality": "dc", "flavor": "k",
        "cell": 3, "up_since_ms": 5.5
    });
    let expected = EndpointUpdate {
        name: "s-0",
        address: Some(([127, 0, 0, 1], 7).into()),
        zone: Some("dc"),
        machine_type: Some("k"),
        cell: 3,
        readiness: Readiness::Draining,
        up_since: Some(5.5),
    };
    assert_eq!(EndpointUpdate::decode(&member), Ok(expected));
}

#[test]
fn all_fields_but_id_and_phase_may_be_missing_or_malformed() {
    let malformed = json!({
        "id": "s-0", "phase": "SERVING", "host_port": "x", "locality": 1, "cell": -1, "up_since_ms": 0
    });
    for member in [json!({ "id": "s-0", "phase": "SERVING" }), malformed] {
        let update = EndpointUpdate::decode(&member).unwrap();
        assert_eq!((update.name, update.readiness), ("s-0", Readiness::Up));
        assert_eq!((update.address, update.zone, update.machine_type), (None, None, None));
        assert_eq!((update.cell, update.up_since), (0, None));
    }
}

#[test]
fn an_endpoint_without_id_or_known_phase_is_an_error() {
    for member in [json!({ "phase": "SERVING" }), json!({ "id": 1, "phase": "SERVING" }), json!("s-0")] {
        assert_eq!(EndpointUpdate::decode(&member), Err(EndpointError::MissingId), "{member}");
    }
    for member in [json!({ "id": "s-0" }), json!({ "id": "s-0", "phase": "serving" })] {
        assert_eq!(EndpointUpdate::decode(&member), Err(EndpointError::UnknownPhase), "{member}");
    }
}
