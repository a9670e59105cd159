#include "compression.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace Hyssop {

namespace zlib = boost::beast::zlib;

constexpr int CompressionLevel = 3; // a record of 1 MiB in less than 50 ms of a core
constexpr int WindowBits = 15;
constexpr int DeflateMemoryLevel = 8; // 1 to 9: size of the hash table and of the symbol buffer of the compressor
constexpr std::size_t LargestRatio = 1032; // of DEFLATE: 258 bytes for 2 bits

static zlib::z_params parameters(std::string_view input, std::string &output)
{
    zlib::z_params parameters;
    parameters.next_in = input.data();
    parameters.avail_in = input.size();
    parameters.next_out = output.data();
    parameters.avail_out = output.size();
    return parameters;
}

std::string deflated(std::string_view bytes)
{
    zlib::deflate_stream stream;
    stream.reset(CompressionLevel, WindowBits, DeflateMemoryLevel, zlib::Strategy::normal);
    std::string output(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params state = parameters(bytes, output);
    boost::system::error_code error;
    stream.write(state, zlib::Flush::finish, error);
    output.resize(state.total_out);
    return output;
}

Result<std::string> inflated(std::string_view bytes, std::size_t size)
{
    if (size / LargestRatio > bytes.size()) {
        return fail(ErrorCode::Malformed, "compressed bytes are too few for their size");
    }
    zlib::inflate_stream stream;
    std::string output(size, '\0');
    zlib::z_params state = parameters(bytes, output);
    boost::system::error_code error;
    stream.write(state, zlib::Flush::finish, error);
    if (error != zlib::error::end_of_stream || state.total_out != size || state.avail_in != 0) {
        return fail(ErrorCode::Malformed, "compressed bytes are damaged: " + error.message());
    }
    return output;
}

} // namespace Hyssop
