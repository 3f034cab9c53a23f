package org.jackdawbeam.soak;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jackdawbeam.net.target.TargetAddress;
import org.jackdawbeam.standin.PortBlock;
import org.jackdawbeam.standin.fleet.FleetSite;

/** A deployment with emulated store and targets, entry processes, and a fault proxy on each link between them. */
final class SoakSite implements AutoCloseable {
    private static final int PORTS_PER_ENTRY = 10;
    private static final int THREADS = 2;
    private static final List<Set<String>> MODELS =
            List.of(Set.of("small", "large"), Set.of("small"), Set.of("large"), Set.of(), Set.of());

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
            THREADS, new DefaultThreadFactory("proxy", true), NioIoHandler.newFactory());
    private final FleetSite fleet = new FleetSite(0);
    private final List<EntryProcess> entries = new ArrayList<>();
    private final List<FaultProxy> storeProxies = new ArrayList<>();
    private final List<FaultProxy> peerProxies = new ArrayList<>();
    private final List<FaultProxy> targetProxies = new ArrayList<>();
    private final Map<Integer, Integer> peerPorts = new HashMap<>();
    private long version = 1;
    private Caller.RotatedKeys keys = new Caller.RotatedKeys("key-1", "key-0");

    SoakSite(int entryCount, Path folder) {
        int firstPort = PortBlock.find(entryCount * PORTS_PER_ENTRY);
        for (int number = 0; number < MODELS.size(); number++) {
            int target = number;
            FaultProxy proxy = new FaultProxy(
                    group, () -> TargetAddress.parse(fleet.address(target)), Optional.of(fleet.ledger()));
            targetProxies.add(proxy);
            fleet.advertise(number, proxy.address());
        }
        fleet.configure(version, Set.of(FleetSite.KEY, keys.newest()));
        for (int number = 0; number < entryCount; number++) {
            EntryProcess entry =
                    new EntryProcess("entry-" + (number + 1), folder, firstPort + number * PORTS_PER_ENTRY);
            entries.add(entry);
            FaultProxy store = new FaultProxy(group, () -> new InetSocketAddress("127.0.0.1", fleet.storePort()));
            FaultProxy peers = new FaultProxy(group, () -> new InetSocketAddress("127.0.0.1", entry.peerPort()));
            storeProxies.add(store);
            peerProxies.add(peers);
            peerPorts.put(entry.peerPort(), peers.port());
            writeSettings(number, true);
        }
        fleet.store().rewriteAppendedRecords(this::replacePeerAddresses);
    }

    FleetSite fleet() {
        return fleet;
    }

    List<EntryProcess> entries() {
        return entries;
    }

    FaultProxy storeProxy(int entry) {
        return storeProxies.get(entry);
    }

    FaultProxy peerProxy(int entry) {
        return peerProxies.get(entry);
    }

    FaultProxy targetProxy(int target) {
        return targetProxies.get(target);
    }

    int targetCount() {
        return MODELS.size();
    }

    synchronized Caller.RotatedKeys keys() {
        return keys;
    }

    /** Writes the settings of an entry. Invalid settings lack the address of the store. */
    void writeSettings(int number, boolean valid) {
        EntryProcess entry = entries.get(number);
        String settings = fleet.settings(
                entry.name(), entry.peerPort(), storeProxies.get(number).address());
        entry.writeSettings(valid ? settings : settings.replace("[platform]", "[elsewhere]"));
    }

    /** Applies a configuration that replaces the rotated key by a new one. */
    synchronized GuaranteeChecker.Withdrawal changeConfiguration() {
        version++;
        String withdrawn = keys.newest();
        keys = new Caller.RotatedKeys("key-" + version, withdrawn);
        fleet.configure(version, Set.of(FleetSite.KEY, keys.newest()));
        return new GuaranteeChecker.Withdrawal(withdrawn, keys.newest(), System.currentTimeMillis());
    }

    void restartTarget(int number) {
        fleet.restart(number, MODELS.get(number));
    }

    /** Replaces the peer addresses that entries publish in the store by the addresses of the fault proxies. */
    private byte[] replacePeerAddresses(byte[] record) {
        String text = new String(record, StandardCharsets.ISO_8859_1);
        for (var port : peerPorts.entrySet()) {
            text = text.replace("127.0.0.1:" + port.getKey(), "127.0.0.1:" + port.getValue());
        }
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() {
        entries.forEach(EntryProcess::close);
        List.of(storeProxies, peerProxies, targetProxies).forEach(proxies -> proxies.forEach(FaultProxy::close));
        fleet.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
