/**
 * Derives VM names from addresses.
 */
import * as ids from "../ids.js";
import * as types from "../Types.js";

// A name must not start with a colon or hyphen, as `::1` would without the prefix.
const ipv6Prefix = "ip6-";

const toVmNameFromHost = (host: string): string => {
    if (!host.startsWith("[")) {
        return host;
    }
    return ipv6Prefix + host.slice(1, -1).toLowerCase().replaceAll(":", "-");
};

/**
 * Returns a VM name derived from an IP.
 *
 * @param address - the address of the VM
 * @returns the IP; an IPv6 address has the form `ip6-...`
 */
export const toVmFromIp = (address: types.Address): types.VmId =>
    ids.toVmId(toVmNameFromHost(address.slice(0, address.lastIndexOf(":"))));

/**
 * Returns a VM name derived from IP and port, so that several daemons on one machine have distinct names.
 *
 * @param address - the address of the VM
 * @returns the name, for example `127.0.0.1-8080`
 */
export const toVmFromAddress = (address: types.Address): types.VmId =>
    ids.toVmId(`${toVmFromIp(address)}-${address.slice(address.lastIndexOf(":") + 1)}`);
