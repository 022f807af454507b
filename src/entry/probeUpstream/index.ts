import { Address, Network } from "../../ports/index.js";

/** Timeout of one connection attempt, in milliseconds, and the number of attempts: a first packet may be lost. */
const CONNECT_TIMEOUT_MS = 400;
const MAX_ATTEMPTS = 3;

/** Result of a probe: the connection is refused, it is accepted, or nothing answers. */
export type ProbeFinding = "crashed" | "alive" | "unreachable";

/**
 * Determines whether an upstream has crashed, by opening a connection on which nothing is sent.
 *
 * @param network - Network of this host.
 * @param address - Address at which the upstream listens.
 * @returns `crashed` only where the upstream's host itself refuses the connection.
 * @example
 * const finding = await probeUpstream(network, grant.address);
 */
export async function probeUpstream(network: Network, address: Address): Promise<ProbeFinding> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const finding = await connectOnce(network, address);
        if (finding !== "unreachable") return finding;
    }
    return "unreachable";
}

async function connectOnce(network: Network, address: Address): Promise<ProbeFinding> {
    const connected = await network.connect(address, CONNECT_TIMEOUT_MS);
    return connected.caseOf<ProbeFinding>({
        Left: ({ reason }) => reason === "refused" ? "crashed" : "unreachable",
        Right: connection => {
            connection.close();
            return "alive";
        },
    });
}
