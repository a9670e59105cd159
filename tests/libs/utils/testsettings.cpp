#include <utils/settings.h>

#include <criterion/criterion.h>

using namespace Hyssop;

static std::vector<SettingSpec> sampleSpecs()
{
    return {
        {"instance.name", TextSetting{}, "Name of this instance.", "", true},
        {"instance.rpc", AddressSetting{}, "Address for other instances.", "", true},
        {"instance.peers", AddressListSetting{}, "Other instances.", "", false},
        {"log.level", ChoiceSetting{{"debug", "info"}}, "Lowest level written.", "info", false},
        {"log.poll", DurationSetting{std::chrono::milliseconds(10), std::chrono::seconds(5)}, "Poll interval.", "500 ms", false},
        {"log.batch", IntegerSetting{1, 100}, "Records a batch.", "10", false},
    };
}

static std::vector<SettingError> errorsOf(std::string_view text)
{
    auto parsed = Settings::parse(text, "test.ini", sampleSpecs());
    auto *errors = std::get_if<std::vector<SettingError>>(&parsed);
    return errors == nullptr ? std::vector<SettingError>() : *errors;
}

// Guards against defaults that differ from the documented ones.
Test(settings, fillsDefaults)
{
    auto parsed = Settings::parse("[instance]\nname = a\nrpc = 127.0.0.1:7000\npeers = 127.0.0.1:1, 127.0.0.1:2\n", "test.ini", sampleSpecs());
    const auto *settings = std::get_if<Settings>(&parsed);
    cr_assert(settings != nullptr);
    cr_assert(settings->duration("log.poll") == std::chrono::milliseconds(500));
    cr_assert(settings->integer("log.batch") == 10);
    cr_assert(settings->list("instance.peers").size() == 2);
}

// Guards against a daemon that starts with a misspelt key or an invalid value.
Test(settings, reportsEachErrorWithItsLine)
{
    const auto errors = errorsOf("[instance]\nname = a\nrpc = localhost:7000\n[log]\npol = 1 s\npoll = 1 h\nbatch = 0\n");
    cr_assert_eq(errors.size(), 4);
    cr_assert_eq(errors[0].line, 3);
    cr_assert_eq(errors[1].toString(), "test.ini:5: log.pol: unknown key");
    cr_assert_eq(errors[2].toString(), "test.ini:6: log.poll: \"1 h\" is not allowed; allowed: a duration with unit (us, ms, s, min, h) from 10 ms to 5 s");
    cr_assert_eq(errors[3].line, 7);
}

// Guards against a daemon that starts without a required setting or with an ambiguous one.
Test(settings, reportsMissingAndRepeatedKeys)
{
    const auto errors = errorsOf("[instance]\nname = a\nname = b\n");
    cr_assert_eq(errors.size(), 2);
    cr_assert_eq(errors[0].toString(), "test.ini:3: instance.name: the key is set twice");
    cr_assert_eq(errors[1].toString(), "test.ini: instance.rpc: missing; allowed: IP-ADDRESS:PORT");
}

// Guards against example files that lack a key.
Test(settings, exampleNamesEveryKey)
{
    const std::string example = Settings::example(sampleSpecs());
    for (const SettingSpec &spec : sampleSpecs()) {
        cr_assert(example.find(spec.key.substr(spec.key.find('.') + 1) + " =") != std::string::npos);
    }
}
