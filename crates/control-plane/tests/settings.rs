//! Settings of the server: defaults, required fields, and the errors for invalid files.

use gaugestep_config::schema;
use gaugestep_control_plane::server::Settings;

fn service() -> schema::Service {
    schema::Service {
        listen: "127.0.0.1:9400".into(),
        operators: "127.0.0.1:9401".into(),
        store: "versions.redb".into(),
        ..schema::Service::default()
    }
}

fn keys() -> schema::Keys {
    schema::Keys { certificate: "certificate".into(), key: "key".into(), authority: "authority".into() }
}

fn error_text(config: &schema::Service) -> String {
    Settings::from_schema(config).expect_err("the settings are invalid").to_string()
}

#[test]
fn absent_fields_have_defaults() {
    let settings = Settings::from_schema(&service()).unwrap();
    assert_eq!((settings.retained_versions, settings.max_streams), (100, 4_096));
    assert_eq!((settings.joins, settings.restored, settings.keys.is_none()), (false, false, true));
    let member = settings.member;
    assert_eq!((member.number, member.listen, member.operators), (1, service().listen, service().operators));
}

#[test]
fn advertised_addresses_are_those_of_the_file() {
    let group = schema::Group {
        member: 3,
        listen_as: "127.0.0.1:7000".into(),
        operators_as: "127.0.0.1:7001".into(),
        ..schema::Group::default()
    };
    let settings = Settings::from_schema(&schema::Service { group: Some(group), ..service() }).unwrap();
    assert_eq!(settings.listen.to_string(), "127.0.0.1:9400");
    assert_eq!((settings.member.number, settings.member.listen.as_str()), (3, "127.0.0.1:7000"));
    assert_eq!(settings.member.operators, "127.0.0.1:7001");
}

#[test]
fn operator_certificates_are_verified_by_their_own_authority() {
    let config = schema::Service { keys: Some(keys()), operators_authority: "other".into(), ..service() };
    let keys = Settings::from_schema(&config).unwrap().keys.expect("the file names keys");
    assert_eq!(keys.proxies.authority.to_str(), Some("authority"));
    assert_eq!(keys.operators.authority.to_str(), Some("other"));
    assert_eq!(keys.operators.certificate, keys.proxies.certificate);
}

#[test]
fn errors_name_the_invalid_field_and_its_value() {
    let group = |listen_as: &str| schema::Group { listen_as: listen_as.into(), ..schema::Group::default() };
    let with_keys = |keys| schema::Service { keys: Some(keys), operators_authority: "o".into(), ..service() };
    let invalid_configs = [
        (schema::Service { store: String::new(), ..service() }, "'store' is missing"),
        (schema::Service { listen: "here".into(), ..service() }, "'listen' is 'here', no address"),
        (schema::Service { operators: String::new(), ..service() }, "'operators' is '', no address"),
        (
            schema::Service { listen: "192.0.2.1:1".into(), ..service() },
            "192.0.2.1:1: without keys only loopback addresses are allowed",
        ),
        (schema::Service { group: Some(group("x")), ..service() }, "'group.listen_as' is 'x', no address"),
        (schema::Service { keys: Some(keys()), ..service() }, "'operators_authority' is missing"),
        (with_keys(schema::Keys { key: String::new(), ..keys() }), "'keys.key' is missing"),
        (schema::Service { group: Some(group("")), ..with_keys(keys()) }, "'group.service_name' is missing"),
    ];
    for (config, expected) in invalid_configs {
        assert_eq!(error_text(&config), expected);
    }
}
