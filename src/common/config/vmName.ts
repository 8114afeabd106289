/**
 * Names of VMs that are known only by their address.
 */
import * as ids from "../ids.js";
import * as types from "../Types.js";

// Names may not begin with a colon or hyphen, as the text of `::1` would.
const ipv6Prefix = "ip6-";

const toNameFromHost = (host: string): string => {
    if (!host.startsWith("[")) {
        return host;
    }
    return ipv6Prefix + host.slice(1, -1).toLowerCase().replaceAll(":", "-");
};

/**
 * Names the VM of an address by its IP.
 *
 * @param address - the address
 * @returns the IP, with an IPv6 address written as `ip6-...`
 */
export const toVmFromIp = (address: types.Address): types.VmId =>
    ids.toVmId(toNameFromHost(address.slice(0, address.lastIndexOf(":"))));

/**
 * Names a VM by IP and port, so that several daemons on one machine have different names.
 *
 * @param address - the address
 * @returns the name, as in `127.0.0.1-8080`
 */
export const toVmFromAddress = (address: types.Address): types.VmId =>
    ids.toVmId(`${toVmFromIp(address)}-${address.slice(address.lastIndexOf(":") + 1)}`);
