#include <gateway/gatewaysettings.h>

#include <utils/endpoint.h>

#include <criterion/criterion.h>

using namespace Hyssop;

static std::variant<Settings, std::vector<SettingError>> parseGateway(const std::string &gateway)
{
    const std::string text = "[instance]\nname = gateway-a\nfailure_domain = puget-a\nrpc = 127.0.0.1:5\nadmin = 127.0.0.1:6\n"
                             "[log]\naddress = 127.0.0.1:1\n[gateway]\ninstance_list = 127.0.0.1:2\n";
    return Settings::parse(text + gateway, "gateway.ini", gatewaySettings());
}

// Guards against settings that have no effect and against defaults that are rejected.
Test(gatewaysettings, fillTheOptions)
{
    auto parsed = parseGateway("listen = 127.0.0.1:8080\nschedulers = 127.0.0.1:3, 127.0.0.1:4\nheader_timeout = 2 s\ndomain_gateways = 3\n");
    const auto *settings = std::get_if<Settings>(&parsed);
    cr_assert(settings != nullptr);
    const GatewayOptions options = gatewayOptions(*settings);
    cr_assert_eq(formatEndpoint(options.listen), "127.0.0.1:8080");
    cr_assert(options.headerTimeout == std::chrono::seconds(2));
    cr_assert(options.idleTimeout == std::chrono::seconds(60));
    cr_assert_eq(options.domainGateways, 3);
    cr_assert_eq(options.maximumBodyBytes, std::uint64_t(1) << 30);
    cr_assert_eq(settings->list("gateway.schedulers").size(), 2);
}

// Guards against a gateway that starts without schedulers or with invalid values.
Test(gatewaysettings, reportFaults)
{
    auto parsed = parseGateway("listen = localhost:8080\ndomain_gateways = 0\nretries = 3\n");
    const auto *errors = std::get_if<std::vector<SettingError>>(&parsed);
    cr_assert(errors != nullptr);
    cr_assert_eq(errors->size(), 4);
    cr_assert_eq((*errors)[0].line, 10);
    cr_assert_eq((*errors)[1].line, 11);
    cr_assert_eq((*errors)[2].toString(), "gateway.ini:12: gateway.retries: unknown key");
    cr_assert_str_eq((*errors)[3].key.c_str(), "gateway.schedulers");
}
